package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/** What is held of one member; kept small, as there are thousands. */
final class MemberEntry {

  final Member member;
  final int hash;
  MemberState state;
  long refutation;

  /**
   * When it came to this standing; put forward while this one itself did not run or was out of
   * touch.
   */
  long stateSinceNanos;

  /** Who told that it does not answer, in this incarnation; null but for a suspect. */
  List<Address> reporters;

  /** Who told by its own word that it holds this suspect to be away already; null for none. */
  List<Address> faultyReporters;

  /** Its place among those probed in turn; -1 where it is not. */
  int probeIndex = -1;

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

  /** What is said of it in an exchange and to itself; of a suspect with who told first. */
  MembershipUpdate toUpdate(Address observer) {
    return new MembershipUpdate(
        member, state, refutation, state == MemberState.SUSPECT ? reporters.get(0) : observer);
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
