package tamarindroute.versioning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One state of the rollout model: two members that run the rollout, the agreed entry and a cache.
 *
 * @param members both members
 * @param entryNumber the number of the agreed entry
 * @param version the value of the agreed entry
 * @param proposals the proposals in flight, in the order in which they were made
 * @param supportHistory for how long the cache has supported the next version
 * @param supports whether the cache supports the next version now
 * @param budget the faults that may still happen
 * @param tick the time in ticks
 * @param trialReverted whether a trial was reverted
 */
record RolloutState(
    List<Member> members,
    long entryNumber,
    FleetVersion version,
    List<Proposal> proposals,
    SupportHistory supportHistory,
    boolean supports,
    Budget budget,
    long tick,
    boolean trialReverted) {

  /**
   * The numbers of faults that may still happen.
   *
   * @param leaderChanges changes of the leader
   * @param supportChanges changes of the support by the cache
   * @param cuts losses of contact between a member and the agreed view
   */
  record Budget(int leaderChanges, int supportChanges, int cuts) {}

  /** A proposal of a member that has not reached the entry yet. */
  record Proposal(int member, long entryNumber, FleetVersion version) {}

  /**
   * A member that runs the rollout.
   *
   * @param rollout the state machine of the member
   * @param cut whether the member is out of contact
   * @param known the fleet version that the member received last
   */
  record Member(VersionRollout rollout, boolean cut, FleetVersion known) {
    Member withCut(boolean isCut) {
      return new Member(rollout, isCut, known);
    }
  }

  /**
   * The actual support of the next version by the cache. Both values are limited, so that the
   * number of states is finite.
   *
   * @param supportedTicks for how many ticks the cache has supported the next version without
   *     interruption
   * @param ticksSinceTrialLength how many ticks ago the cache had last supported it for the length
   *     of a trial
   */
  record SupportHistory(int supportedTicks, int ticksSinceTrialLength) {
    SupportHistory next(boolean supports) {
      int newSupportedTicks =
          supports ? Math.min(supportedTicks + 1, RolloutModel.MAX_SUPPORTED_TICKS) : 0;
      boolean trialLength = newSupportedTicks >= RolloutModel.TRIAL_TICKS;
      return new SupportHistory(
          newSupportedTicks,
          trialLength
              ? 0
              : Math.min(ticksSinceTrialLength + 1, RolloutModel.MAX_TICKS_SINCE_TRIAL_LENGTH));
    }
  }

  Duration now() {
    return RolloutModel.TICK.multipliedBy(tick);
  }

  /**
   * Returns a key that is equal for states with the same possible successors. Times are compared by
   * their age.
   */
  List<Object> key() {
    List<Object> parts = new ArrayList<>();
    for (Member member : members) {
      parts.add(List.of(member.rollout().key(now()), member.cut(), member.known()));
    }
    parts.add(
        List.of(entryNumber, version, proposals, supportHistory, supports, budget, trialReverted));
    return parts;
  }

  RolloutState withMember(int index, Member member) {
    List<Member> changed = new ArrayList<>(members);
    changed.set(index, member);
    return new RolloutState(
        List.copyOf(changed),
        entryNumber,
        version,
        proposals,
        supportHistory,
        supports,
        budget,
        tick,
        trialReverted);
  }

  RolloutState withBudget(Budget remaining) {
    return new RolloutState(
        members,
        entryNumber,
        version,
        proposals,
        supportHistory,
        supports,
        remaining,
        tick,
        trialReverted);
  }

  RolloutState withProposals(List<Proposal> changed) {
    return new RolloutState(
        members,
        entryNumber,
        version,
        List.copyOf(changed),
        supportHistory,
        supports,
        budget,
        tick,
        trialReverted);
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

  /** Returns the state after the cache has started or stopped to support the next version. */
  RolloutState withChangedSupport() {
    return new RolloutState(
        members,
        entryNumber,
        version,
        proposals,
        new SupportHistory(0, supportHistory.ticksSinceTrialLength()),
        !supports,
        budget,
        tick,
        trialReverted);
  }

  RolloutState withEntry(FleetVersion accepted, boolean revertsTrial) {
    return new RolloutState(
        members,
        entryNumber + 1,
        accepted,
        proposals,
        supportHistory,
        supports,
        budget,
        tick,
        trialReverted || revertsTrial);
  }

  RolloutState atNextTick() {
    return new RolloutState(
        members,
        entryNumber,
        version,
        proposals,
        supportHistory.next(supports),
        supports,
        budget,
        tick + 1,
        trialReverted);
  }

  /**
   * Returns the state without further faults or proposals in flight, and with a cache that supports
   * the next version.
   */
  RolloutState recovered() {
    return new RolloutState(
        members,
        entryNumber,
        version,
        List.of(),
        supportHistory,
        true,
        new Budget(0, 0, 0),
        tick,
        false);
  }
}
