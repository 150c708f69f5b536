package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns accusations: who reports whom, how long that may be refuted, and the cut. It must never hold
 * a member to be away on one observer's word, nor while this one itself is not in touch.
 */
final class SuspicionTracker {

  /** A suspicion without the guard for pauses waits so many periods, as SWIM's example has it. */
  private static final int UNGUARDED_TIMEOUT_PERIODS = 3;

  /**
   * The least for a refutation to be there after the pause that is borne: a period, eight rounds of
   * gossip.
   */
  private static final int REFUTATION_MARGIN_PERIODS = 1;

  /** A cut waits no longer than so many periods for others that are about to be one with it. */
  private static final int BATCH_WAIT_PERIODS = 1;

  /** No more observers than this are kept for one suspect, whatever is told. */
  private static final int MAX_REPORTERS = 16;

  private final StepContext context;
  private final LocalHealthMonitor localHealth;

  SuspicionTracker(StepContext ownReport, LocalHealthMonitor localHealth) {
    this.context = ownReport;
    this.localHealth = localHealth;
  }

  /** One more observer tells that this one does not answer; whether this was news. */
  boolean report(MemberEntry entry, Address observer) {
    if (entry.state == MemberState.ALIVE) {
      context.memberTable.setState(entry, MemberState.SUSPECT, context.nowNanos, context.random);
      entry.reporters.add(observer);
      context.emitStateChange(entry);
    } else if (entry.state != MemberState.SUSPECT
        || entry.reporters.contains(observer)
        || entry.reporters.size() >= MAX_REPORTERS) {
      return false;
    } else {
      entry.reporters.add(observer);
    }
    if (entry.reporters.size() <= requiredReports() || context.isSelf(observer)) {
      context.gossipQueue.enqueue(
          new MembershipUpdate(entry.member, MemberState.SUSPECT, entry.refutation, observer));
    }
    return true;
  }

  /**
   * So many observers make a cut: most of those held alive and under no suspicion, this one among
   * them, up to the high mark. Two at the least, so that of two none can ever cut off the other:
   * they can't tell a dead one from a cut way.
   */
  int requiredReports() {
    if (!context.settings.guards().confirmation()) {
      return 1;
    }
    int eligible = context.memberTable.unsuspectedCount() + 1;
    return Math.min(context.settings.highWatermark(), Math.max(2, eligible / 2 + 1));
  }

  /**
   * Another holds this suspect to be away already. As many of these as make a cut are one: each has
   * waited, and whoever was stopped or comes late need not wait again. One's own report counts with
   * them.
   */
  void addFaultyReport(MemberEntry entry, Address reporter) {
    if (entry.state != MemberState.SUSPECT) {
      return;
    }
    if (entry.faultyReporters == null) {
      entry.faultyReporters = new ArrayList<>(2);
    }
    if (!entry.faultyReporters.contains(reporter) && entry.faultyReporters.size() < MAX_REPORTERS) {
      entry.faultyReporters.add(reporter);
    }
  }

  private boolean isDeclaredFaultyByOthers(MemberEntry entry, int required) {
    int ownReport = entry.reporters.contains(this.context.self.address()) ? 1 : 0;
    return entry.faultyReporters != null && entry.faultyReporters.size() + ownReport >= required;
  }

  /** Cuts all that are ripe at once, if none is about to be. */
  void evaluate() {
    if (!localHealth.statusAt(context.nowNanos).isConnected()) {
      return;
    }
    int required = requiredReports();
    List<MemberEntry> ripe = new ArrayList<>();
    boolean anotherPending = false;
    boolean overdue = false;
    for (MemberEntry entry : context.memberTable.suspects()) {
      int count = countValidReports(entry);
      long sinceTimeoutNanos =
          context.nowNanos - entry.stateSinceNanos - timeoutNanos(count, required);
      boolean declaredElsewhere = isDeclaredFaultyByOthers(entry, required);
      if (count >= required && sinceTimeoutNanos >= 0 || declaredElsewhere) {
        ripe.add(entry);
        overdue |=
            declaredElsewhere || sinceTimeoutNanos >= BATCH_WAIT_PERIODS * context.periodNanos;
      } else {
        anotherPending |=
            count >= context.settings.lowWatermark()
                && count < required
                && sinceTimeoutNanos < BATCH_WAIT_PERIODS * context.periodNanos;
      }
    }
    if (anotherPending && !overdue) {
      return;
    }
    ripe.forEach(this::declareFaulty);
  }

  void declareFaulty(MemberEntry entry) {
    context.memberTable.setState(entry, MemberState.AWAY, context.nowNanos, context.random);
    context.emitStateChange(entry);
    context.gossipQueue.enqueue(entry.toUpdate(context.self.address()));
  }

  /** Those whose reports count: held alive here, and under no suspicion themselves. */
  private int countValidReports(MemberEntry entry) {
    int count = 0;
    for (Address observer : entry.reporters) {
      MemberEntry reporter = context.memberTable.find(observer);
      if (context.isSelf(observer)
          || reporter != null && reporter.state == MemberState.ALIVE
          || !context.settings.guards().confirmation()) {
        count++;
      }
    }
    return count;
  }

  /**
   * Few observers and a poor health of one's own make it longer (Lifeguard); the stated pause is in
   * it.
   */
  private long timeoutNanos(int reports, int required) {
    long minimumNanos =
        context.settings.guards().pauseDetection()
            ? context.settings.toleratedPause().toNanos()
                + REFUTATION_MARGIN_PERIODS * context.periodNanos
            : UNGUARDED_TIMEOUT_PERIODS * context.periodNanos;
    if (!context.settings.guards().confirmation()) {
      return minimumNanos;
    }
    int missing =
        Math.max(0, Math.min(context.settings.highWatermark() - Math.max(reports, required), 2));
    return minimumNanos
        + missing * context.periodNanos / 2
        + context.healthScore.score() * context.periodNanos / 2;
  }

  /** Whoever did not hear the others for a while gives everybody the whole time again. */
  void restartTimeouts() {
    for (MemberEntry entry : context.memberTable.suspects()) {
      entry.stateSinceNanos = context.nowNanos;
    }
  }

  /**
   * Those suspects that this one is to look at: drawn by hash, more with each period, so that some
   * always do.
   */
  List<MemberEntry> selectedForProbing() {
    List<MemberEntry> selected = new ArrayList<>();
    for (MemberEntry entry : context.memberTable.suspects()) {
      if (!entry.reporters.contains(context.self.address()) && isSelected(entry)) {
        selected.add(entry);
      }
    }
    return selected;
  }

  boolean isSelected(MemberEntry entry) {
    long periods = Math.min(8, (context.nowNanos - entry.stateSinceNanos) / context.periodNanos);
    double share =
        (double) (context.settings.suspectProbers() << periods)
            / (context.memberTable.unsuspectedCount() + 1);
    long sample =
        DeterministicRandom.mix(entry.hash, DeterministicRandom.memberHash(context.self)) & 0xFFFF;
    return sample < share * 0x10000;
  }
}
