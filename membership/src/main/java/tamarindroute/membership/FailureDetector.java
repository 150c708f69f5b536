package tamarindroute.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * SWIM failure detector: probes other members (targets) directly and through helpers, and reports
 * targets that do not answer as suspect.
 *
 * <p>A probe runs through stages, whose length is given by {@link HealthScore}. A helper probes the
 * target on behalf of the member that requested it. The helper passes on the target's answer (ACK),
 * and before that sends a NACK if the target has not answered within the first stage.
 *
 * <p>If no other member answers either, no target is reported, because the local member itself is
 * probably isolated. Deadlines are moved by the time in which the local process did not run,
 * because it could not read answers then.
 */
final class FailureDetector {

  /**
   * Maximum number of open probes, including those on behalf of other members. Among 5,000 members,
   * each one probes only a few suspects per second in addition to its regular targets.
   */
  private static final int MAX_OPEN_PROBES = 64;

  /**
   * Last stage of a probe on behalf of another member, counted from 0. The probe is sent in stages
   * 0 and 1, and is dropped at the end of this stage.
   */
  private static final int LAST_INDIRECT_STAGE = 2;

  /** Marks {@link #earliestDueNanos} as not computed since the last change. */
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

  /** Returns a copy of the open probes that works on the given copies of the other components. */
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

  /** Returns the state that determines future behaviour, for a model checker. */
  List<Object> stateKey(long nowNanos) {
    List<Object> key = new ArrayList<>();
    for (Probe probe : openProbes.values()) {
      key.add(probe.stateKey(context.requestIdAge(probe.id), nowNanos));
    }
    return key;
  }

  /** Drops all open probes and reports none of their targets. */
  void clear() {
    openProbes.clear();
    earliestDueNanos = UNKNOWN;
  }

  /** Postpones all probes by the time in which the local process did not run. */
  void postpone(long delayNanos) {
    if (delayNanos > 0) {
      openProbes.values().forEach(probe -> probe.nextStageNanos += delayNanos);
      earliestDueNanos = UNKNOWN;
    }
  }

  /** Returns when the first probe enters its next stage; {@link Long#MAX_VALUE} if none is open. */
  long nextDueNanos() {
    if (earliestDueNanos < 0) {
      earliestDueNanos = Long.MAX_VALUE;
      for (Probe probe : openProbes.values()) {
        earliestDueNanos = Math.min(earliestDueNanos, probe.nextStageNanos);
      }
    }
    return earliestDueNanos;
  }

  /** Starts a probe of a member unless the local member is already probing it for itself. */
  void probe(MemberEntry entry) {
    boolean alreadyProbing =
        openProbes.values().stream()
            .anyMatch(probe -> probe.isLocal() && probe.target.equals(entry.member));
    if (!alreadyProbing) {
      start(entry, null, 0);
    }
  }

  /**
   * Starts a probe on behalf of the sender of an {@link Message.Kind#INDIRECT_PROBE} message. Does
   * nothing if the target is not in the member table.
   */
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

  /** Advances each probe whose current stage has ended to its next stage. */
  void advanceDueProbes() {
    if (context.nowNanos < nextDueNanos()) {
      return;
    }
    earliestDueNanos = UNKNOWN;
    for (Probe probe : List.copyOf(openProbes.values())) {
      if (probe.nextStageNanos <= context.nowNanos) {
        probe.stage++;
        if (probe.isLocal()) {
          advanceLocal(probe);
        } else {
          advanceIndirect(probe);
        }
        scheduleNextStage(probe);
      }
    }
  }

  /**
   * Advances a probe that the local member started for itself. Sends it again, directly and through
   * other members. In the last stage it only waits for answers.
   */
  private void advanceLocal(Probe probe) {
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

  /**
   * Advances a probe on behalf of another member. After the first stage, probes a second time and
   * sends a NACK, which shows the requester that at least the local member is alive. Then only
   * waits for an answer.
   */
  private void advanceIndirect(Probe probe) {
    if (probe.stage == 1) {
      sendProbe(probe);
      outbound.send(Message.Kind.NACK, probe.requester, probe.requesterProbeId, probe.target);
    } else if (probe.stage > LAST_INDIRECT_STAGE) {
      openProbes.remove(probe.id);
    }
  }

  private void onFailure(Probe probe) {
    // Without a NACK, the local member may have missed messages of its helpers (Lifeguard).
    if (!probe.nackReceived) {
      context.healthScore.degrade();
    }
    MemberEntry entry = context.memberTable.find(probe.target);
    boolean isLiveWithoutRefutation =
        entry != null && entry.isLive() && entry.refutation == probe.refutation;
    if (isLiveWithoutRefutation && mayReport(probe)) {
      suspicions.report(entry, context.self.address());
    }
  }

  /**
   * Whether the target of a failed probe may be reported. If no other member has answered since one
   * probe period before the probe was sent, the local member is more likely isolated than the
   * target faulty. Always true if the guard by local health is switched off.
   */
  private boolean mayReport(Probe probe) {
    if (!context.settings.guards().localHealth()) {
      return true;
    }
    long probeAgeNanos = context.nowNanos - probe.sentNanos;
    return localHealth.statusAt(context.nowNanos).isConnected()
        && localHealth.answeredWithin(probeAgeNanos + context.periodNanos);
  }

  /**
   * Ends the probe that is answered by a message from its target or from a helper. Passes the
   * answer on to the requester if the probe was on behalf of another member.
   */
  void onAck(Message message) {
    Probe probe = openProbes.get(message.requestId());
    if (probe == null || !probe.target.equals(message.subject())) {
      return;
    }
    openProbes.remove(message.requestId());
    earliestDueNanos = UNKNOWN;
    if (!probe.isLocal()) {
      outbound.send(Message.Kind.ACK, probe.requester, probe.requesterProbeId, probe.target);
      return;
    }
    // After a retransmission it is unknown which transmission was answered (Karn's algorithm, RFC
    // 6298).
    if (probe.stage == 0) {
      context.healthScore.recordRoundTrip(context.nowNanos - probe.sentNanos);
    }
    context.healthScore.improve();
    localHealth.recordAnswer();
  }

  /** Records that a helper is alive although the target has not answered the helper's probe. */
  void onNack(Message message) {
    Probe probe = openProbes.get(message.requestId());
    if (probe != null && probe.isLocal() && probe.target.equals(message.subject())) {
      probe.nackReceived = true;
      localHealth.recordAnswer();
    }
  }
}
