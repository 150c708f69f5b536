package tamarindroute.versioning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One state of the rollout model: two drivers of the rollout, the agreed entry and a cache.
 *
 * @param drivers both members
 * @param entryNumber number of the agreed entry
 * @param version the agreed entry
 * @param proposals under way, in the order in which they were made
 * @param ability of the cache
 * @param supports whether the cache supports the next version now
 * @param budget faults that may still happen
 * @param tick time
 * @param trialTakenBack whether a trial was taken back
 */
record RolloutState(
    List<Driver> drivers,
    long entryNumber,
    FleetVersion version,
    List<Proposal> proposals,
    Ability ability,
    boolean supports,
    Budget budget,
    long tick,
    boolean trialTakenBack) {

  /** Faults that may still happen: moves of the leadership, changes of the cache, cuts. */
  record Budget(int moves, int flips, int cuts) {}

  /** A proposal of a driver that has not reached the entry. */
  record Proposal(int driver, long entryNumber, FleetVersion version) {}

  /** A member: its rollout, whether it is out of contact, the version it learned last. */
  record Driver(VersionRollout rollout, boolean cut, FleetVersion known) {
    Driver withCut(boolean isCut) {
      return new Driver(rollout, isCut, known);
    }
  }

  /**
   * The cache's true support.
   *
   * @param spell for how many ticks it has supported the next version
   * @param sinceLong how many ticks ago it last had done so for a trial's length
   */
  record Ability(int spell, int sinceLong) {
    Ability next(boolean supports) {
      int longer = supports ? Math.min(spell + 1, RolloutModel.MAX_SPELL) : 0;
      boolean isLong = longer >= RolloutModel.TRIAL_TICKS;
      return new Ability(longer, isLong ? 0 : Math.min(sinceLong + 1, RolloutModel.LONG_AGO));
    }
  }

  Duration now() {
    return RolloutModel.TICK.multipliedBy(tick);
  }

  /** Equal where the same can follow: times count by their age. */
  List<Object> key() {
    List<Object> parts = new ArrayList<>();
    for (Driver driver : drivers) {
      parts.add(List.of(driver.rollout().key(now()), driver.cut(), driver.known()));
    }
    parts.add(List.of(entryNumber, version, proposals, ability, supports, budget, trialTakenBack));
    return parts;
  }

  RolloutState withDriver(int index, Driver driver) {
    List<Driver> changed = new ArrayList<>(drivers);
    changed.set(index, driver);
    return new RolloutState(
        List.copyOf(changed),
        entryNumber,
        version,
        proposals,
        ability,
        supports,
        budget,
        tick,
        trialTakenBack);
  }

  RolloutState withBudget(Budget left) {
    return new RolloutState(
        drivers, entryNumber, version, proposals, ability, supports, left, tick, trialTakenBack);
  }

  RolloutState withProposals(List<Proposal> changed) {
    return new RolloutState(
        drivers,
        entryNumber,
        version,
        List.copyOf(changed),
        ability,
        supports,
        budget,
        tick,
        trialTakenBack);
  }

  RolloutState with(Proposal added) {
    List<Proposal> changed = new ArrayList<>(proposals);
    changed.add(added);
    return withProposals(changed);
  }

  RolloutState without(Proposal removed) {
    List<Proposal> changed = new ArrayList<>(proposals);
    changed.remove(removed);
    return withProposals(changed);
  }

  /** The cache starts or stops to support the next version. */
  RolloutState withFlippedCache() {
    return new RolloutState(
        drivers,
        entryNumber,
        version,
        proposals,
        new Ability(0, ability.sinceLong()),
        !supports,
        budget,
        tick,
        trialTakenBack);
  }

  RolloutState withEntry(FleetVersion accepted, boolean takesBack) {
    return new RolloutState(
        drivers,
        entryNumber + 1,
        accepted,
        proposals,
        ability,
        supports,
        budget,
        tick,
        trialTakenBack || takesBack);
  }

  RolloutState atNextTick() {
    return new RolloutState(
        drivers,
        entryNumber,
        version,
        proposals,
        ability.next(supports),
        supports,
        budget,
        tick + 1,
        trialTakenBack);
  }

  /** Without faults or proposals under way, and with a cache that supports the next version. */
  RolloutState recovered() {
    return new RolloutState(
        drivers, entryNumber, version, List.of(), ability, true, new Budget(0, 0, 0), tick, false);
  }
}
