package tamarindroute.versioning;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import tamarindroute.versioning.RolloutState.Ability;
import tamarindroute.versioning.RolloutState.Budget;
import tamarindroute.versioning.RolloutState.Driver;
import tamarindroute.versioning.RolloutState.Proposal;

/**
 * Explores all that can happen to two drivers of a rollout within budgets: the leadership moves at
 * any time and the old leader may not learn it; proposals come late, or never; a cache flaps; one
 * driver loses contact. Checked against the true state of cache and entry, not what drivers
 * believe.
 */
final class RolloutModel {

  /** Seeded defects that the model must find. */
  enum Defect {
    /** No defect. */
    NONE,
    /** The entry is replaced whatever number was expected. */
    IGNORES_ENTRY_NUMBER,
    /** A series of reports continues over any silence. */
    IGNORES_SILENCE,
    /** A member without contact uses what it last knew. */
    IGNORES_LOST_CONTACT
  }

  /**
   * The result of an exploration.
   *
   * @param states how many were visited
   * @param settled in how many of them the version was settled
   * @param takenBack in how many a trial had been taken back
   * @param stuck in how many of those tried the version is not settled without further faults
   * @param breach a breach of a rule, or null
   */
  record Result(int states, int settled, int takenBack, int stuck, String breach) {}

  static final Duration TICK = Duration.ofSeconds(1);
  static final int TRIAL_TICKS = 2;
  static final int LONG_AGO = 3;

  private static final int BEFORE_TRIAL_TICKS = 1;
  private static final int MAX_SILENCE_TICKS = 1;
  static final int MAX_SPELL = BEFORE_TRIAL_TICKS + TRIAL_TICKS;
  private static final VersionTable TABLE =
      new VersionTable(List.of(VersionSet.of(0, 1), VersionSet.of(1, 2)));
  private static final String CACHE = "cache";
  private static final Set<String> PEERS = Set.of(CACHE);
  private static final int DRIVERS = 2;
  private static final int MAX_PROPOSALS = 2;

  /** Of so many states, one is played on without faults. */
  private static final int RECOVERY_INTERVAL = 16;

  private static final int RECOVERY_TICKS = 20;

  /** Beyond this a budget is too large for a test of seconds. */
  private static final int MAX_STATES = 400_000;

  private final Defect defect;
  private final RolloutSettings settings;
  private String breach;

  RolloutModel(Defect defect) {
    this.defect = defect;
    Duration maxSilence =
        defect == Defect.IGNORES_SILENCE
            ? Duration.ofDays(1)
            : TICK.multipliedBy(MAX_SILENCE_TICKS);
    settings =
        new RolloutSettings(
            TICK.multipliedBy(BEFORE_TRIAL_TICKS), TICK.multipliedBy(TRIAL_TICKS), maxSilence);
  }

  Result explore(Budget budget) {
    RolloutState first = firstState(budget);
    Set<List<Object>> seen = new HashSet<>(Set.of(first.key()));
    ArrayDeque<RolloutState> open = new ArrayDeque<>(List.of(first));
    int settled = 0;
    int takenBack = 0;
    int stuck = 0;
    while (!open.isEmpty() && breach == null) {
      if (seen.size() > MAX_STATES) {
        throw new IllegalStateException("not explored to the end within " + MAX_STATES + " states");
      }
      RolloutState state = open.poll();
      settled += state.version().settled() == 1 ? 1 : 0;
      takenBack += state.trialTakenBack() ? 1 : 0;
      stuck += seen.size() % RECOVERY_INTERVAL == 0 && !recovers(state) ? 1 : 0;
      for (RolloutState next : successors(state)) {
        if (seen.add(next.key())) {
          open.add(next);
        }
      }
    }
    return new Result(seen.size(), settled, takenBack, stuck, breach);
  }

  private RolloutState firstState(Budget budget) {
    List<Driver> drivers = new ArrayList<>();
    for (int i = 0; i < DRIVERS; i++) {
      VersionRollout rollout = new VersionRollout(settings);
      rollout.on(new RolloutEvent.VersionAgreed(0, FleetVersion.FIRST, PEERS), Duration.ZERO);
      rollout.on(new RolloutEvent.TargetChanged(Optional.of(1)), Duration.ZERO);
      drivers.add(new Driver(rollout, false, FleetVersion.FIRST));
    }
    drivers.get(0).rollout().on(new RolloutEvent.LeadershipChanged(true), Duration.ZERO);
    return new RolloutState(
        List.copyOf(drivers),
        0,
        FleetVersion.FIRST,
        List.of(),
        new Ability(0, LONG_AGO),
        true,
        budget,
        0,
        false);
  }

  private List<RolloutState> successors(RolloutState state) {
    List<RolloutState> successors = new ArrayList<>(List.of(ticked(state)));
    successors.addAll(moves(state));
    Budget budget = state.budget();
    if (budget.flips() > 0) {
      successors.add(
          state
              .withFlippedCache()
              .withBudget(new Budget(budget.moves(), budget.flips() - 1, budget.cuts())));
    }
    successors.addAll(cuts(state));
    for (Proposal proposal : state.proposals()) {
      successors.add(delivered(state, proposal));
      successors.add(state.without(proposal));
    }
    return successors;
  }

  /** The leadership moves; the old leader learns it, or it is stopped or out of contact. */
  private List<RolloutState> moves(RolloutState state) {
    Budget budget = state.budget();
    List<RolloutState> moves = new ArrayList<>();
    if (budget.moves() == 0) {
      return moves;
    }
    Budget left = new Budget(budget.moves() - 1, budget.flips(), budget.cuts());
    for (int driver = 0; driver < DRIVERS; driver++) {
      RolloutState moved = on(state, driver, new RolloutEvent.LeadershipChanged(true));
      RolloutState learned = on(moved, 1 - driver, new RolloutEvent.LeadershipChanged(false));
      moves.add(learned.withBudget(left));
      moves.add(moved.withBudget(left));
    }
    return moves;
  }

  private List<RolloutState> cuts(RolloutState state) {
    Budget budget = state.budget();
    List<RolloutState> cuts = new ArrayList<>();
    for (int index = 0; index < DRIVERS; index++) {
      Driver driver = state.drivers().get(index);
      if (driver.cut()) {
        cuts.add(informed(state.withDriver(index, driver.withCut(false)), index));
      } else if (budget.cuts() > 0) {
        cuts.add(
            state
                .withDriver(index, driver.withCut(true))
                .withBudget(new Budget(budget.moves(), budget.flips(), budget.cuts() - 1)));
      }
    }
    return cuts;
  }

  /** The next tick: drivers in contact hear the cache, and all decide. */
  private RolloutState ticked(RolloutState state) {
    RolloutState next = state.atNextTick();
    for (int driver = 0; driver < DRIVERS; driver++) {
      if (!next.drivers().get(driver).cut()) {
        int highest = next.supports() ? 1 : 0;
        next = on(next, driver, new RolloutEvent.SupportReported(CACHE, 0, highest));
      }
      next = on(next, driver, new RolloutEvent.Tick());
    }
    checkUse(next);
    return next;
  }

  private RolloutState on(RolloutState state, int index, RolloutEvent event) {
    Driver driver = state.drivers().get(index);
    VersionRollout rollout = driver.rollout().copy();
    RolloutState next = state.withDriver(index, new Driver(rollout, driver.cut(), driver.known()));
    for (RolloutAction action : rollout.on(event, state.now())) {
      if (action instanceof RolloutAction.Propose propose
          && next.proposals().size() < MAX_PROPOSALS) {
        checkProposal(next, driver, propose);
        next = next.with(new Proposal(index, propose.entryNumber(), propose.version()));
      }
    }
    return next;
  }

  /** A proposal reaches the entry, and all in contact learn the result. */
  private RolloutState delivered(RolloutState state, Proposal proposal) {
    RolloutState next = state.without(proposal);
    if (proposal.entryNumber() != state.entryNumber() && defect != Defect.IGNORES_ENTRY_NUMBER) {
      return next;
    }
    checkStep(state.version(), proposal.version());
    boolean takesBack =
        state.version().phase() == FleetVersion.Phase.TRIAL
            && proposal.version().phase() == FleetVersion.Phase.STABLE
            && proposal.version().settled() == state.version().settled();
    next = next.withEntry(proposal.version(), takesBack);
    return informed(informed(next, 0), 1);
  }

  private void checkStep(FleetVersion before, FleetVersion after) {
    boolean goesBack = after.settled() < before.settled();
    boolean skipsTrial =
        after.settled() > before.settled() && before.phase() != FleetVersion.Phase.TRIAL;
    if (goesBack || skipsTrial) {
      breach = "from " + before + " to " + after;
    }
  }

  private RolloutState informed(RolloutState state, int index) {
    Driver driver = state.drivers().get(index);
    if (driver.cut()) {
      return state;
    }
    Driver informed = new Driver(driver.rollout(), false, state.version());
    return on(
        state.withDriver(index, informed),
        index,
        new RolloutEvent.VersionAgreed(state.entryNumber(), state.version(), PEERS));
  }

  /** A version may be settled only if the cache had supported it for a whole trial's length. */
  private void checkProposal(RolloutState state, Driver driver, RolloutAction.Propose propose) {
    boolean settles = propose.version().settled() > driver.known().settled();
    if (settles && state.ability().sinceLong() > MAX_SILENCE_TICKS) {
      breach =
          "proposed to settle, but the cache last had support for a trial's length "
              + state.ability().sinceLong()
              + " ticks ago";
    }
  }

  /** No member uses a schema version that the agreed fleet version does not allow. */
  private void checkUse(RolloutState state) {
    VersionSet allowed = state.version().usable(TABLE, true);
    for (Driver driver : state.drivers()) {
      boolean inContact = !driver.cut() || defect == Defect.IGNORES_LOST_CONTACT;
      VersionSet used = driver.known().usable(TABLE, inContact);
      if (!used.and(allowed).equals(used)) {
        breach = "uses " + used + " at " + state.version() + " knowing " + driver.known();
      }
    }
  }

  /** Without further faults, with one leader and a supporting cache, the version is settled. */
  private boolean recovers(RolloutState from) {
    RolloutState state = from.recovered();
    for (int index = 0; index < DRIVERS; index++) {
      Driver driver = state.drivers().get(index);
      VersionRollout rollout = driver.rollout().copy();
      rollout.onProposalRejected(state.entryNumber());
      state = state.withDriver(index, new Driver(rollout, false, driver.known()));
      RolloutEvent leadership = new RolloutEvent.LeadershipChanged(index == 0);
      state = informed(on(state, index, leadership), index);
    }
    for (int tick = 0; tick < RECOVERY_TICKS && breach == null; tick++) {
      state = ticked(state);
      while (!state.proposals().isEmpty()) {
        state = delivered(state, state.proposals().get(0));
      }
    }
    return state.version().settled() == 1;
  }
}
