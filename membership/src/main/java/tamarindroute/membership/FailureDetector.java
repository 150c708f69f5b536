package tamarindroute.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Probes other members directly and indirectly and reports those that do not answer. Reports nobody
 * while this member itself is not answered by others.
 */
final class FailureDetector {

  /** Bound on the open probes, those on behalf of others included. */
  private static final int MAX_OPEN_PROBES = 64;

  /** A probe on behalf of another is sent twice, and given up after this stage. */
  private static final int LAST_STAGE_ON_BEHALF = 2;

  private static final long UNKNOWN = -1;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;
  private final Map<Long, Probe> openProbes = new LinkedHashMap<>();

  /** Cached result of {@link #nextDueNanos()}, or {@link #UNKNOWN}. */
  private long earliestDueNanos = UNKNOWN;

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
      StepContext otherContext,
      OutboundMessages otherOutbound,
      LocalHealthMonitor otherLocalHealth,
      SuspicionTracker otherSuspicions) {
    FailureDetector copy =
        new FailureDetector(otherContext, otherOutbound, otherLocalHealth, otherSuspicions);
    openProbes.forEach((id, probe) -> copy.openProbes.put(id, probe.copy()));
    return copy;
  }

  List<Object> stateKey(long nowNanos) {
    List<Object> key = new ArrayList<>();
    for (Probe probe : openProbes.values()) {
      key.add(probe.stateKey(context.requestIdAge(probe.id), nowNanos));
    }
    return key;
  }

  void clear() {
    openProbes.clear();
    earliestDueNanos = UNKNOWN;
  }

  /** Moves all deadlines by a time in which this process did not run. */
  void postpone(long delayNanos) {
    if (delayNanos > 0) {
      openProbes.values().forEach(probe -> probe.nextStageNanos += delayNanos);
      earliestDueNanos = UNKNOWN;
    }
  }

  /** When the first probe enters its next stage; {@link Long#MAX_VALUE} if none is open. */
  long nextDueNanos() {
    if (earliestDueNanos < 0) {
      earliestDueNanos = Long.MAX_VALUE;
      for (Probe probe : openProbes.values()) {
        earliestDueNanos = Math.min(earliestDueNanos, probe.nextStageNanos);
      }
    }
    return earliestDueNanos;
  }

  /** Starts a probe, unless an own one of the same member is open. */
  void probe(MemberEntry entry) {
    boolean alreadyProbing =
        openProbes.values().stream()
            .anyMatch(probe -> probe.isOwn() && probe.target.equals(entry.member));
    if (!alreadyProbing) {
      start(entry, null, 0);
    }
  }

  /** Starts the probe that an {@link Message.Kind#INDIRECT_PROBE} asks for. */
  void onIndirectProbe(Message message) {
    MemberEntry entry = context.memberTable.find(message.subject());
    if (entry != null) {
      start(entry, message.from(), message.requestId());
    }
  }

  private void start(MemberEntry target, Member requester, long requesterProbeId) {
    if (openProbes.size() >= MAX_OPEN_PROBES) {
      return;
    }
    long id = context.nextRequestId();
    Probe probe = new Probe(target, id, context.nowNanos, requester, requesterProbeId);
    scheduleNextStage(probe);
    openProbes.put(id, probe);
    earliestDueNanos = UNKNOWN;
    sendProbe(probe);
  }

  private void scheduleNextStage(Probe probe) {
    probe.nextStageNanos = context.nowNanos + context.healthScore.stageNanos();
  }

  private void sendProbe(Probe probe) {
    outbound.send(Message.Kind.PROBE, probe.target, probe.id);
  }

  /** Takes all probes to their next stage for which it is time. */
  void advanceDueProbes() {
    if (context.nowNanos < nextDueNanos()) {
      return;
    }
    earliestDueNanos = UNKNOWN;
    for (Probe probe : List.copyOf(openProbes.values())) {
      if (probe.nextStageNanos <= context.nowNanos) {
        probe.stage++;
        if (probe.isOwn()) {
          advanceOwn(probe);
        } else {
          advanceOnBehalf(probe);
        }
        scheduleNextStage(probe);
      }
    }
  }

  /** Probes again, directly and through others; in the last stage only waits. */
  private void advanceOwn(Probe probe) {
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
      sendProbe(probe);
      int helpers = context.settings.indirectProbes();
      for (MemberEntry helper : context.memberTable.randomAlive(helpers, entry, context.random)) {
        outbound.send(Message.Kind.INDIRECT_PROBE, helper.member, probe.id, probe.target);
      }
    }
  }

  /** Probes once more, and tells the requester that at least this member is alive. */
  private void advanceOnBehalf(Probe probe) {
    if (probe.stage == 1) {
      sendProbe(probe);
      outbound.send(Message.Kind.NACK, probe.requester, probe.requesterProbeId, probe.target);
    } else if (probe.stage > LAST_STAGE_ON_BEHALF) {
      openProbes.remove(probe.id);
    }
  }

  private void onFailure(Probe probe) {
    if (!probe.nackReceived) {
      context.healthScore.degrade();
    }
    MemberEntry entry = context.memberTable.find(probe.target);
    boolean unchanged = entry != null && entry.isLive() && entry.refutation == probe.refutation;
    if (unchanged && mayReport(probe)) {
      suspicions.report(entry, context.self.address());
    }
  }

  /** A member that was not answered by anybody meanwhile is more likely isolated itself. */
  private boolean mayReport(Probe probe) {
    if (!context.settings.guards().localHealth()) {
      return true;
    }
    long probeAgeNanos = context.nowNanos - probe.sentNanos;
    return localHealth.statusAt(context.nowNanos).isConnected()
        && localHealth.answeredWithin(probeAgeNanos + context.periodNanos);
  }

  void onAck(Message message) {
    Probe probe = openProbes.get(message.requestId());
    if (probe == null || !probe.target.equals(message.subject())) {
      return;
    }
    openProbes.remove(message.requestId());
    earliestDueNanos = UNKNOWN;
    if (!probe.isOwn()) {
      outbound.send(Message.Kind.ACK, probe.requester, probe.requesterProbeId, probe.target);
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
    if (probe != null && probe.isOwn() && probe.target.equals(message.subject())) {
      probe.nackReceived = true;
      localHealth.recordAnswer();
    }
  }
}
