package tamarindroute.versioning;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import tamarindroute.versioning.RolloutState.Budget;
import tamarindroute.versioning.RolloutState.Member;
import tamarindroute.versioning.RolloutState.Proposal;
import tamarindroute.versioning.RolloutState.SupportHistory;

/**
 * Explicit-state model checker for {@link VersionRollout}: explores all sequences of events of two
 * members within a budget of faults. The leader changes at any time, and the old leader may not be
 * notified. Proposals arrive late or never. A cache repeatedly gains and loses support. A member
 * loses contact. The rules are checked against the actual state of the cache and the entry, not
 * against the state that the members have received.
 */
final class RolloutModel {

  /** Deliberate defects that the model must find. */
  enum Defect {
    /** No defect. */
    NONE,
    /** A proposal replaces the entry even if the entry has another number than expected. */
    IGNORES_ENTRY_NUMBER,
    /** A series of reports continues after any silence. */
    IGNORES_SILENCE,
    /** A member out of contact uses the schema versions of the fleet version it received last. */
    IGNORES_LOST_CONTACT
  }

  /**
   * The result of an exploration.
   *
   * @param states number of states that were found
   * @param settled number of visited states in which the version was settled
   * @param reverted number of visited states in which a trial had been reverted
   * @param stuck number of sampled states from which the version is not settled although no further
   *     fault happens
   * @param breach the violation of a rule, or null
   */
  record Result(int states, int settled, int reverted, int stuck, String breach) {}

  static final Duration TICK = Duration.ofSeconds(1);
  static final int TRIAL_TICKS = 2;

  /** Upper bound of a counter, so that the number of states is finite. */
  static final int MAX_TICKS_SINCE_TRIAL_LENGTH = 3;

  private static final int BEFORE_TRIAL_TICKS = 1;
  static final int MAX_SILENCE_TICKS = 1;

  /** Upper bound of a counter, so that the number of states is finite. */
  static final int MAX_SUPPORTED_TICKS = BEFORE_TRIAL_TICKS + TRIAL_TICKS;

  private static final String CACHE = "cache";
  private static final Set<String> PEERS = Set.of(CACHE);
  private static final int MEMBERS = 2;
  private static final int MAX_PROPOSALS = 2;

  /** Recovery without further faults is checked for one of this many states. */
  private static final int RECOVERY_SAMPLING_INTERVAL = 16;

  private static final int RECOVERY_TICKS = 20;

  /** Maximum number of states, above which the test would take more than some seconds. */
  private static final int MAX_STATES = 400_000;

  private final Defect defect;
  private final RolloutSettings settings;
  private final RolloutRules rules;

  RolloutModel(Defect defect) {
    this.defect = defect;
    rules = new RolloutRules(defect);
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
    Set<List<Object>> seenKeys = new HashSet<>(Set.of(first.key()));
    ArrayDeque<RolloutState> queue = new ArrayDeque<>(List.of(first));
    int settled = 0;
    int reverted = 0;
    int stuck = 0;
    while (!queue.isEmpty() && rules.breach() == null) {
      if (seenKeys.size() > MAX_STATES) {
        throw new IllegalStateException(
            "exploration has found "
                + seenKeys.size()
                + " states, must have at most "
                + MAX_STATES);
      }
      RolloutState state = queue.poll();
      settled += state.version().settled() == 1 ? 1 : 0;
      reverted += state.trialReverted() ? 1 : 0;
      stuck += seenKeys.size() % RECOVERY_SAMPLING_INTERVAL == 0 && !recovers(state) ? 1 : 0;
      for (RolloutState next : successors(state)) {
        if (seenKeys.add(next.key())) {
          queue.add(next);
        }
      }
    }
    return new Result(seenKeys.size(), settled, reverted, stuck, rules.breach());
  }

  private RolloutState firstState(Budget budget) {
    List<Member> members = new ArrayList<>();
    for (int member = 0; member < MEMBERS; member++) {
      VersionRollout rollout = new VersionRollout(settings);
      rollout.on(new RolloutEvent.VersionAgreed(0, FleetVersion.FIRST, PEERS), Duration.ZERO);
      rollout.on(new RolloutEvent.TargetChanged(Optional.of(1)), Duration.ZERO);
      members.add(new Member(rollout, false, FleetVersion.FIRST));
    }
    members.get(0).rollout().on(new RolloutEvent.LeadershipChanged(true), Duration.ZERO);
    return new RolloutState(
        List.copyOf(members),
        0,
        FleetVersion.FIRST,
        List.of(),
        new SupportHistory(0, MAX_TICKS_SINCE_TRIAL_LENGTH),
        true,
        budget,
        0,
        false);
  }

  private List<RolloutState> successors(RolloutState state) {
    List<RolloutState> successors = new ArrayList<>(List.of(ticked(state)));
    successors.addAll(leaderChanges(state));
    Budget budget = state.budget();
    if (budget.supportChanges() > 0) {
      successors.add(
          state
              .withChangedSupport()
              .withBudget(
                  new Budget(budget.leaderChanges(), budget.supportChanges() - 1, budget.cuts())));
    }
    successors.addAll(cuts(state));
    for (Proposal proposal : state.proposals()) {
      successors.add(delivered(state, proposal));
      successors.add(state.without(proposal));
    }
    return successors;
  }

  /**
   * Returns the states after a change of the leader. The old leader is either notified, or not
   * notified because it is paused or out of contact.
   */
  private List<RolloutState> leaderChanges(RolloutState state) {
    Budget budget = state.budget();
    List<RolloutState> changes = new ArrayList<>();
    if (budget.leaderChanges() == 0) {
      return changes;
    }
    Budget remaining =
        new Budget(budget.leaderChanges() - 1, budget.supportChanges(), budget.cuts());
    for (int member = 0; member < MEMBERS; member++) {
      RolloutState newLeader = on(state, member, new RolloutEvent.LeadershipChanged(true));
      RolloutState oldLeaderNotified =
          on(newLeader, 1 - member, new RolloutEvent.LeadershipChanged(false));
      changes.add(oldLeaderNotified.withBudget(remaining));
      changes.add(newLeader.withBudget(remaining));
    }
    return changes;
  }

  private List<RolloutState> cuts(RolloutState state) {
    Budget budget = state.budget();
    List<RolloutState> cuts = new ArrayList<>();
    for (int index = 0; index < MEMBERS; index++) {
      Member member = state.members().get(index);
      if (member.cut()) {
        cuts.add(withAgreedEntry(state.withMember(index, member.withCut(false)), index));
      } else if (budget.cuts() > 0) {
        cuts.add(
            state
                .withMember(index, member.withCut(true))
                .withBudget(
                    new Budget(
                        budget.leaderChanges(), budget.supportChanges(), budget.cuts() - 1)));
      }
    }
    return cuts;
  }

  /**
   * Returns the state at the next tick. Members in contact receive a report of the cache, and all
   * members decide.
   */
  private RolloutState ticked(RolloutState state) {
    RolloutState next = state.atNextTick();
    for (int member = 0; member < MEMBERS; member++) {
      if (!next.members().get(member).cut()) {
        int highest = next.supports() ? 1 : 0;
        next = on(next, member, new RolloutEvent.SupportReported(CACHE, 0, highest));
      }
      next = on(next, member, new RolloutEvent.Tick());
    }
    rules.checkUse(next);
    return next;
  }

  private RolloutState on(RolloutState state, int index, RolloutEvent event) {
    Member member = state.members().get(index);
    VersionRollout rollout = member.rollout().copy();
    RolloutState next = state.withMember(index, new Member(rollout, member.cut(), member.known()));
    for (RolloutAction action : rollout.on(event, state.now())) {
      if (action instanceof RolloutAction.Propose propose
          && next.proposals().size() < MAX_PROPOSALS) {
        rules.checkProposal(next, member, propose);
        next = next.with(new Proposal(index, propose.entryNumber(), propose.version()));
      }
    }
    return next;
  }

  /**
   * Returns the state after a proposal has reached the entry and members in contact are notified.
   */
  private RolloutState delivered(RolloutState state, Proposal proposal) {
    RolloutState next = state.without(proposal);
    if (proposal.entryNumber() != state.entryNumber() && defect != Defect.IGNORES_ENTRY_NUMBER) {
      return next;
    }
    rules.checkStep(state.version(), proposal.version());
    boolean revertsTrial =
        state.version().phase() == FleetVersion.Phase.TRIAL
            && proposal.version().phase() == FleetVersion.Phase.STABLE
            && proposal.version().settled() == state.version().settled();
    next = next.withEntry(proposal.version(), revertsTrial);
    return withAgreedEntry(withAgreedEntry(next, 0), 1);
  }

  private RolloutState withAgreedEntry(RolloutState state, int index) {
    Member member = state.members().get(index);
    if (member.cut()) {
      return state;
    }
    Member informed = new Member(member.rollout(), false, state.version());
    return on(
        state.withMember(index, informed),
        index,
        new RolloutEvent.VersionAgreed(state.entryNumber(), state.version(), PEERS));
  }

  /**
   * Whether the version is settled if no further fault happens, there is one leader and the cache
   * supports the version.
   */
  private boolean recovers(RolloutState from) {
    RolloutState state = from.recovered();
    for (int index = 0; index < MEMBERS; index++) {
      Member member = state.members().get(index);
      VersionRollout rollout = member.rollout().copy();
      rollout.onProposalRejected(state.entryNumber());
      state = state.withMember(index, new Member(rollout, false, member.known()));
      RolloutEvent leadership = new RolloutEvent.LeadershipChanged(index == 0);
      state = withAgreedEntry(on(state, index, leadership), index);
    }
    for (int tick = 0; tick < RECOVERY_TICKS && rules.breach() == null; tick++) {
      state = ticked(state);
      while (!state.proposals().isEmpty()) {
        state = delivered(state, state.proposals().get(0));
      }
    }
    return state.version().settled() == 1;
  }
}
