package tamarindroute.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns questions that are open: one's own probes, and those put for others. It must never accuse
 * anybody while this one is not answered by others, nor for an answer that had no time to be read.
 */
final class FailureDetector {

  /** At once, others' included: a member of 5,000 looks at a few suspects a second. */
  private static final int MAX_OPEN_PROBES = 64;

  private static final class Probe {
    final Member target;
    final long id;
    final long sentNanos;

    /** As it was held when it was asked: what came later is not what was asked. */
    final long refutation;

    long nextStageNanos;
    int stage;
    boolean nackReceived;

    /** For whom, and its number there; null for one's own. */
    final Member requester;

    final long requesterProbeId;

    Probe(
        Member target,
        long id,
        long sentNanos,
        long refutation,
        Member requester,
        long requesterProbeId) {
      this.target = target;
      this.id = id;
      this.sentNanos = sentNanos;
      this.refutation = refutation;
      this.requester = requester;
      this.requesterProbeId = requesterProbeId;
    }

    Probe copy() {
      Probe copy = new Probe(target, id, sentNanos, refutation, requester, requesterProbeId);
      copy.nextStageNanos = nextStageNanos;
      copy.stage = stage;
      copy.nackReceived = nackReceived;
      return copy;
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

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;
  private final Map<Long, Probe> openProbes = new LinkedHashMap<>();

  /** When the first of them is due; -1 where that is to be found out again. */
  private long earliestDueNanos = -1;

  FailureDetector(
      StepContext context,
      OutboundMessages outbound,
      LocalHealthMonitor localHealth,
      SuspicionTracker suspicions) {
    this.context = context;
    this.outbound = outbound;
    this.localHealth = localHealth;
    this.suspicions = suspicions;
  }

  FailureDetector copy(
      StepContext other,
      OutboundMessages otherOutbound,
      LocalHealthMonitor otherLocalHealth,
      SuspicionTracker otherSuspicions) {
    FailureDetector copy =
        new FailureDetector(other, otherOutbound, otherLocalHealth, otherSuspicions);
    openProbes.forEach((id, probe) -> copy.openProbes.put(id, probe.copy()));
    return copy;
  }

  List<Object> stateKey(long nowNanos) {
    List<Object> key = new ArrayList<>();
    openProbes
        .values()
        .forEach(probe -> key.add(probe.stateKey(context.requestIdAge(probe.id), nowNanos)));
    return key;
  }

  void clear() {
    openProbes.clear();
    earliestDueNanos = -1;
  }

  /** Time in which this one did not run is nobody's silence. */
  void postpone(long delayNanos) {
    if (delayNanos > 0) {
      openProbes.values().forEach(probe -> probe.nextStageNanos += delayNanos);
      earliestDueNanos = -1;
    }
  }

  /** The first moment at which something is due; far away for none. */
  long nextDueNanos() {
    if (earliestDueNanos < 0) {
      earliestDueNanos = Long.MAX_VALUE;
      for (Probe probe : openProbes.values()) {
        earliestDueNanos = Math.min(earliestDueNanos, probe.nextStageNanos);
      }
    }
    return earliestDueNanos;
  }

  void probe(MemberEntry entry) {
    boolean alreadyProbing =
        openProbes.values().stream()
            .anyMatch(probe -> probe.requester == null && probe.target.equals(entry.member));
    if (!alreadyProbing) {
      startProbe(entry, null, 0);
    }
  }

  void probeOnBehalf(Member target, Member requester, long requesterProbeId) {
    MemberEntry entry = context.memberTable.find(target);
    if (entry != null) {
      startProbe(entry, requester, requesterProbeId);
    }
  }

  private void startProbe(MemberEntry target, Member requester, long requesterProbeId) {
    if (openProbes.size() >= MAX_OPEN_PROBES) {
      return;
    }
    Probe probe =
        new Probe(
            target.member,
            context.nextRequestId(),
            context.nowNanos,
            target.refutation,
            requester,
            requesterProbeId);
    probe.nextStageNanos = context.nowNanos + context.healthScore.stageNanos();
    openProbes.put(probe.id, probe);
    earliestDueNanos = -1;
    outbound.send(Message.Kind.PROBE, target.member, probe.id, context.self);
  }

  void advanceDueProbes() {
    if (context.nowNanos < nextDueNanos()) {
      return;
    }
    earliestDueNanos = -1;
    for (Probe probe : List.copyOf(openProbes.values())) {
      if (probe.nextStageNanos <= context.nowNanos) {
        probe.stage++;
        if (probe.requester == null) {
          advance(probe);
        } else {
          advanceOnBehalf(probe);
        }
        probe.nextStageNanos = context.nowNanos + context.healthScore.stageNanos();
      }
    }
  }

  private void advance(Probe probe) {
    if (probe.stage >= HealthScore.PROBE_STAGES) {
      openProbes.remove(probe.id);
      onFailure(probe);
      return;
    }
    MemberEntry entry = context.memberTable.find(probe.target);
    if (entry == null || !entry.isLive()) {
      openProbes.remove(probe.id);
      return;
    }
    if (probe.stage < HealthScore.PROBE_STAGES - 1) {
      outbound.send(Message.Kind.PROBE, probe.target, probe.id, context.self);
      for (MemberEntry other :
          context.memberTable.randomAlive(
              context.settings.indirectProbes(), entry, context.random)) {
        outbound.send(Message.Kind.PROBE_FOR, other.member, probe.id, probe.target);
      }
    }
  }

  /**
   * Twice, then once more is listened; whoever asked hears after the first that this one at least
   * is there.
   */
  private void advanceOnBehalf(Probe probe) {
    if (probe.stage == 1) {
      outbound.send(Message.Kind.PROBE, probe.target, probe.id, context.self);
      outbound.send(Message.Kind.NACK, probe.requester, probe.requesterProbeId, probe.target);
    } else if (probe.stage > 2) {
      openProbes.remove(probe.id);
    }
  }

  private void onFailure(Probe probe) {
    if (!probe.nackReceived) {
      context.healthScore.degrade();
    }
    MemberEntry entry = context.memberTable.find(probe.target);
    // Only who is itself answered may accuse: else it is more likely that it is cut off.
    boolean mayAccuse =
        !context.settings.guards().localHealth()
            || localHealth.statusAt(context.nowNanos).isConnected()
                && localHealth.answeredWithin(
                    context.nowNanos - probe.sentNanos + context.periodNanos);
    if (entry != null && entry.isLive() && entry.refutation == probe.refutation && mayAccuse) {
      suspicions.report(entry, context.self.address());
    }
  }

  void onAck(Message message) {
    Probe probe = openProbes.get(message.requestId());
    if (probe == null || !probe.target.equals(message.subject())) {
      return;
    }
    openProbes.remove(message.requestId());
    earliestDueNanos = -1;
    if (probe.requester != null) {
      outbound.send(
          Message.Kind.ACK, probe.requester, probe.requesterProbeId, probe.target, List.of(), true);
      return;
    }
    if (probe.stage == 0) {
      context.healthScore.recordRoundTrip(context.nowNanos - probe.sentNanos);
    }
    context.healthScore.improve();
    localHealth.recordAnswer();
  }

  void onNack(Message message) {
    Probe probe = openProbes.get(message.requestId());
    if (probe != null && probe.requester == null && probe.target.equals(message.subject())) {
      probe.nackReceived = true;
      localHealth.recordAnswer();
    }
  }
}
