package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/** Entry of one member in the {@link MemberTable}. Kept small, as a table holds thousands. */
final class MemberEntry {

  /** {@link #probeIndex} of an entry that is not live. */
  static final int NOT_LIVE = -1;

  final Member member;

  /** Position on the hash ring; the same at all members. */
  final int hash;

  MemberState state;

  /** Greatest refutation number known of this incarnation. */
  long refutation;

  /**
   * When the member entered its state. For a suspect, set to the present after the local member was
   * paused or not connected, so that the whole time to refute starts again.
   */
  long stateSinceNanos;

  /** Observers that reported this suspect, in the order of their reports; null unless suspect. */
  List<Address> reporters;

  /** Members that have themselves declared this suspect faulty; null if none has. */
  List<Address> faultyReporters;

  /** Index in the table's list of live members, or {@link #NOT_LIVE}. */
  int probeIndex = NOT_LIVE;

  MemberEntry(Member member, MemberState state, long refutation, long stateSinceNanos) {
    this.member = member;
    this.hash = (int) DeterministicRandom.memberHash(member);
    this.state = state;
    this.refutation = refutation;
    this.stateSinceNanos = stateSinceNanos;
  }

  private MemberEntry(MemberEntry other) {
    member = other.member;
    hash = other.hash;
    state = other.state;
    refutation = other.refutation;
    stateSinceNanos = other.stateSinceNanos;
    reporters = other.reporters == null ? null : new ArrayList<>(other.reporters);
    faultyReporters = other.faultyReporters == null ? null : new ArrayList<>(other.faultyReporters);
    probeIndex = other.probeIndex;
  }

  MemberEntry copy() {
    return new MemberEntry(this);
  }

  boolean isLive() {
    return state == MemberState.ALIVE || state == MemberState.SUSPECT;
  }

  /** Whether the given observer has reported the member as suspect. */
  boolean isReportedBy(Address observer) {
    return reporters != null && reporters.contains(observer);
  }

  /**
   * Returns an update with the state of this entry.
   *
   * @param observer observer named in the update; for a suspect its first reporter is named instead
   */
  MembershipUpdate toUpdate(Address observer) {
    Address source = state == MemberState.SUSPECT ? reporters.get(0) : observer;
    return new MembershipUpdate(member, state, refutation, source);
  }

  List<Object> stateKey(long nowNanos) {
    return List.of(
        member,
        state,
        refutation,
        state == MemberState.SUSPECT ? nowNanos - stateSinceNanos : 0,
        reporters == null ? List.of() : reporters,
        faultyReporters == null ? List.of() : faultyReporters,
        probeIndex);
  }
}
