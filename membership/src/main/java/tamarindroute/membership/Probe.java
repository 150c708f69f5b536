package tamarindroute.membership;

import java.util.List;

/** A probe without an answer yet: one of this member's own, or one on behalf of another. */
final class Probe {

  final Member target;
  final long id;
  final long sentNanos;

  /** The target's refutation number when it was probed; a later one makes a failure void. */
  final long refutation;

  /** The member that asked for the probe, or null for an own one. */
  final Member requester;

  /** The requester's id of the probe; 0 for an own one. */
  final long requesterProbeId;

  /** Stages that have passed. */
  int stage;

  long nextStageNanos;

  /** Whether a member that was asked to probe indirectly has answered without success. */
  boolean nackReceived;

  Probe(MemberEntry target, long id, long sentNanos, Member requester, long requesterProbeId) {
    this.target = target.member;
    this.id = id;
    this.sentNanos = sentNanos;
    this.refutation = target.refutation;
    this.requester = requester;
    this.requesterProbeId = requesterProbeId;
  }

  private Probe(Probe other) {
    target = other.target;
    id = other.id;
    sentNanos = other.sentNanos;
    refutation = other.refutation;
    requester = other.requester;
    requesterProbeId = other.requesterProbeId;
    stage = other.stage;
    nextStageNanos = other.nextStageNanos;
    nackReceived = other.nackReceived;
  }

  Probe copy() {
    return new Probe(this);
  }

  boolean isOwn() {
    return requester == null;
  }

  List<Object> stateKey(long idAge, long nowNanos) {
    return List.of(
        target,
        idAge,
        nowNanos - sentNanos,
        refutation,
        nextStageNanos - nowNanos,
        stage,
        nackReceived,
        requester == null ? "" : requester,
        requesterProbeId);
  }
}
