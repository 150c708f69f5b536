package tamarindroute.membership;

import java.util.List;

/**
 * A probe that has not been answered yet. The local member started it either for itself or on
 * behalf of another member that requested an indirect probe.
 */
final class Probe {

  final Member target;
  final long id;
  final long sentNanos;

  /**
   * The target's refutation number when it was probed. If it has changed when the probe fails, the
   * failure is ignored.
   */
  final long refutation;

  /** Member that requested this indirect probe, or null if the probe is the local member's own. */
  final Member requester;

  /** Id of the requester's own probe of the target; 0 if there is no requester. */
  final long requesterProbeId;

  /** Current stage, from 0, which is the number of stages that have ended. */
  int stage;

  /** End of the current stage. */
  long nextStageNanos;

  /** Whether a helper has sent a NACK, which shows that the local member receives messages. */
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

  /** Whether the local member started the probe for itself. */
  boolean isLocal() {
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
