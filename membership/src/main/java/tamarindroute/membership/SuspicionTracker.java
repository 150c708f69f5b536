package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects reports of suspects and declares them faulty once enough observers agree and the time to
 * refute is over. Suspects that fail together are declared together. No member is declared faulty
 * on one observer's report, nor while this member itself is not connected.
 */
final class SuspicionTracker {

  /** Time to refute in periods if pauses are not tolerated, as in SWIM's example. */
  private static final int UNGUARDED_TIMEOUT_PERIODS = 3;

  /** Time in periods for a refutation to arrive after the longest tolerated pause. */
  private static final int REFUTATION_MARGIN_PERIODS = 1;

  /** How long suspects that are due wait for others that soon will be. */
  private static final int BATCH_WAIT_PERIODS = 1;

  /** The smallest quorum: of two members neither can tell a failure of the other from its own. */
  private static final int MIN_REPORTS = 2;

  /** Bound on the reporters stored for one suspect. */
  private static final int MAX_REPORTERS = 16;

  /** Missing reports lengthen the timeout by half a period each, up to this many. */
  private static final int MAX_MISSING_REPORTS = 2;

  /** The share of members that probe a suspect doubles with each period, up to this many times. */
  private static final int MAX_SHARE_DOUBLINGS = 8;

  /** Samples that decide on the share are drawn from 0 up to this. */
  private static final int SAMPLE_RANGE = 0x10000;

  private final StepContext context;
  private final LocalHealthMonitor localHealth;

  SuspicionTracker(StepContext context, LocalHealthMonitor localHealth) {
    this.context = context;
    this.localHealth = localHealth;
  }

  /** Adds an observer's report that a member does not answer. */
  void report(MemberEntry entry, Address observer) {
    if (entry.state == MemberState.ALIVE) {
      setState(entry, MemberState.SUSPECT);
      entry.reporters.add(observer);
      context.emitStateChange(entry);
    } else if (mayAddReport(entry, observer)) {
      entry.reporters.add(observer);
    } else {
      return;
    }
    if (entry.reporters.size() <= requiredReports() || context.isSelf(observer)) {
      context.gossipQueue.enqueue(
          new MembershipUpdate(entry.member, MemberState.SUSPECT, entry.refutation, observer));
    }
  }

  private static boolean mayAddReport(MemberEntry entry, Address observer) {
    return entry.state == MemberState.SUSPECT
        && !entry.reporters.contains(observer)
        && entry.reporters.size() < MAX_REPORTERS;
  }

  /**
   * How many observers have to agree: a majority of the unsuspected members including this one, up
   * to the high watermark.
   */
  int requiredReports() {
    if (!context.settings.guards().confirmation()) {
      return 1;
    }
    int eligible = context.memberTable.unsuspectedCount() + 1;
    int majority = eligible / 2 + 1;
    return Math.min(context.settings.highWatermark(), Math.max(MIN_REPORTS, majority));
  }

  /**
   * Notes that another member has declared this suspect faulty at first hand. As many of these as a
   * quorum make this member declare it as well: each has waited, so a member that was paused or is
   * late need not wait again.
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
    if (entry.faultyReporters == null) {
      return false;
    }
    int ownReports = entry.reporters.contains(context.self.address()) ? 1 : 0;
    return entry.faultyReporters.size() + ownReports >= required;
  }

  /** Declares all suspects faulty that are due, unless others are about to become due. */
  void evaluate() {
    if (!localHealth.statusAt(context.nowNanos).isConnected()) {
      return;
    }
    int required = requiredReports();
    long batchWaitNanos = BATCH_WAIT_PERIODS * context.periodNanos;
    List<MemberEntry> due = new ArrayList<>();
    boolean anotherPending = false;
    boolean overdue = false;
    for (MemberEntry entry : context.memberTable.suspects()) {
      int reports = countValidReports(entry);
      long sinceTimeoutNanos =
          context.nowNanos - entry.stateSinceNanos - timeoutNanos(reports, required);
      boolean declaredElsewhere = isDeclaredFaultyByOthers(entry, required);
      boolean confirmed = reports >= required && sinceTimeoutNanos >= 0;
      if (declaredElsewhere || confirmed) {
        due.add(entry);
        overdue |= declaredElsewhere || sinceTimeoutNanos >= batchWaitNanos;
      } else {
        boolean hasSomeReports = reports >= context.settings.lowWatermark() && reports < required;
        anotherPending |= hasSomeReports && sinceTimeoutNanos < batchWaitNanos;
      }
    }
    if (overdue || !anotherPending) {
      due.forEach(this::declareFaulty);
    }
  }

  void declareFaulty(MemberEntry entry) {
    setState(entry, MemberState.FAULTY);
    context.emitStateChange(entry);
    context.gossipQueue.enqueue(entry.toUpdate(context.self.address()));
  }

  private void setState(MemberEntry entry, MemberState state) {
    context.memberTable.setState(entry, state, context.nowNanos, context.random);
  }

  /** Reports count if their observer is alive here and not suspect itself. */
  private int countValidReports(MemberEntry entry) {
    if (!context.settings.guards().confirmation()) {
      return entry.reporters.size();
    }
    int count = 0;
    for (Address observer : entry.reporters) {
      MemberEntry reporter = context.memberTable.find(observer);
      boolean reporterAlive = reporter != null && reporter.state == MemberState.ALIVE;
      if (reporterAlive || context.isSelf(observer)) {
        count++;
      }
    }
    return count;
  }

  /** Time to refute; longer with few reports and in poor local health (Lifeguard). */
  private long timeoutNanos(int reports, int required) {
    MembershipSettings settings = context.settings;
    long periodNanos = context.periodNanos;
    long minimumNanos =
        settings.guards().pauseDetection()
            ? settings.toleratedPause().toNanos() + REFUTATION_MARGIN_PERIODS * periodNanos
            : UNGUARDED_TIMEOUT_PERIODS * periodNanos;
    if (!settings.guards().confirmation()) {
      return minimumNanos;
    }
    int missing = settings.highWatermark() - Math.max(reports, required);
    int countedMissing = Math.max(0, Math.min(missing, MAX_MISSING_REPORTS));
    return minimumNanos
        + countedMissing * periodNanos / 2
        + context.healthScore.score() * periodNanos / 2;
  }

  /** Gives all suspects their whole time again, after this member missed messages for a while. */
  void restartTimeouts() {
    for (MemberEntry entry : context.memberTable.suspects()) {
      entry.stateSinceNanos = context.nowNanos;
    }
  }

  /** The suspects that this member is to probe out of turn and has not reported itself. */
  List<MemberEntry> selectedForProbing() {
    List<MemberEntry> selected = new ArrayList<>();
    for (MemberEntry entry : context.memberTable.suspects()) {
      if (!entry.reporters.contains(context.self.address()) && isSelected(entry)) {
        selected.add(entry);
      }
    }
    return selected;
  }

  /**
   * Whether this member belongs to the observers of a suspect, which are selected by hash. Their
   * share grows with time, so that some are left whatever has failed.
   */
  private boolean isSelected(MemberEntry entry) {
    long suspectPeriods = (context.nowNanos - entry.stateSinceNanos) / context.periodNanos;
    long doublings = Math.min(MAX_SHARE_DOUBLINGS, suspectPeriods);
    int observers = context.settings.suspectProbers() << doublings;
    double share = (double) observers / (context.memberTable.unsuspectedCount() + 1);
    long selfHash = DeterministicRandom.memberHash(context.self);
    long sample = DeterministicRandom.mix(entry.hash, selfHash) & (SAMPLE_RANGE - 1);
    return sample < share * SAMPLE_RANGE;
  }
}
