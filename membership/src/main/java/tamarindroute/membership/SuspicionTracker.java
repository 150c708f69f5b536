package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the observers' reports about suspects and declares a suspect faulty when enough
 * observers have reported it and its time to refute has ended. Members that fail together are
 * declared together, as one cut.
 *
 * <p>With all guards on, no member is declared faulty on the report of a single observer, or while
 * the local member itself is not connected.
 */
final class SuspicionTracker {

  /** Time to refute if pauses are not tolerated, as in the example of the SWIM paper. */
  private static final int UNGUARDED_TIMEOUT_PERIODS = 3;

  /**
   * Minimum time for a refutation to arrive after the longest tolerated pause. One period has eight
   * gossip rounds.
   */
  private static final int REFUTATION_MARGIN_PERIODS = 1;

  /** Longest time that a suspect waits to be declared faulty together with other suspects. */
  private static final int BATCH_WAIT_PERIODS = 1;

  /**
   * Smallest number of reports that declares a member faulty. With one, each of two members could
   * declare the other faulty, although neither can distinguish a failed member from a cut link.
   */
  private static final int MIN_REPORTS = 2;

  /** Bound on the reporters stored for one suspect. */
  private static final int MAX_REPORTERS = 16;

  /** Each missing report extends the time to refute by half a period, up to this number of them. */
  private static final int MAX_MISSING_REPORTS = 2;

  /** The number of members that probe a suspect doubles each period, at most this often. */
  private static final int MAX_SHARE_DOUBLINGS = 8;

  /** Number of different hash values that decide whether a member probes a suspect; 2^16. */
  private static final int SAMPLE_RANGE = 0x10000;

  private final StepContext context;
  private final LocalHealthMonitor localHealth;

  SuspicionTracker(StepContext context, LocalHealthMonitor localHealth) {
    this.context = context;
    this.localHealth = localHealth;
  }

  /** Records an observer's report that a member does not answer, and disseminates a new report. */
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
   * Returns the number of observers that have to report a suspect before it is declared faulty: a
   * majority of the members that are not suspect, including the local one, but at least {@link
   * #MIN_REPORTS} and at most the high watermark.
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
   * Records that another member has itself declared a suspect faulty. When as many members as
   * {@link #requiredReports} have done so, the local member declares it faulty without waiting:
   * each of them has already waited for a refutation. A report of the local member counts as one of
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
    if (entry.faultyReporters == null) {
      return false;
    }
    int localReports = entry.reporters.contains(context.self.address()) ? 1 : 0;
    return entry.faultyReporters.size() + localReports >= required;
  }

  /**
   * Declares faulty all suspects that are due. Waits up to {@link #BATCH_WAIT_PERIODS} if another
   * suspect has some reports but not enough yet, so that both are declared together.
   */
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

  /** Declares a member faulty and disseminates this. */
  void declareFaulty(MemberEntry entry) {
    setState(entry, MemberState.FAULTY);
    context.emitStateChange(entry);
    context.gossipQueue.enqueue(entry.toUpdate(context.self.address()));
  }

  private void setState(MemberEntry entry, MemberState state) {
    context.memberTable.setState(entry, state, context.nowNanos, context.random);
  }

  /** Counts the reports whose observer is alive in the local table, so neither suspect nor gone. */
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

  /**
   * Returns the time that a suspect has to refute. It is longer with few reports and in poor local
   * health, as in Lifeguard, and includes the tolerated pause.
   */
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

  /**
   * Restarts the time to refute of all suspects, because the local member may have missed their
   * refutations for a while.
   */
  void restartTimeouts() {
    for (MemberEntry entry : context.memberTable.suspects()) {
      entry.stateSinceNanos = context.nowNanos;
    }
  }

  /** Returns the suspects that the local member has to probe out of turn and has not reported. */
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
   * Whether the local member is one of the members that probe a suspect out of turn. They are
   * selected by hash. Their number grows with time, so that some of them are alive whichever
   * members have failed.
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
