package tamarindroute.membership;

import java.util.SplittableRandom;

/**
 * Simulates a protocol in which each member sends a heartbeat to all others every period, for
 * comparison with the membership protocol. A member is declared faulty after five missing
 * heartbeats, which takes about as long as with probes. Each ordered pair of members is simulated
 * independently.
 */
final class HeartbeatSimulation {

  /** A member is declared faulty when this number of heartbeats in a row is missing. */
  private static final int MAX_MISSING_HEARTBEATS = 5;

  /** One member out of this number is paused. */
  private static final int PAUSED_DIVISOR = 10;

  private final int count;
  private final MembershipBenchmark.Workload workload;
  private final SplittableRandom random;
  private final int failing;
  private long falseDeclarations;
  private double secondsUntilKnown;
  private long missedDeclarations;

  HeartbeatSimulation(int count, MembershipBenchmark.Workload workload, int seed) {
    this.count = count;
    this.workload = workload;
    this.random = new SplittableRandom(seed);
    this.failing = MembershipBenchmark.failingMembers(count);
  }

  MembershipBenchmark.Result run() {
    for (int subject = 0; subject < count; subject++) {
      for (int observer = 0; observer < count; observer++) {
        boolean cut = workload.oneWayCut() && subject == 0;
        if (observer != subject && !cut) {
          simulatePair(subject);
        }
      }
    }
    return new MembershipBenchmark.Result(
        secondsUntilKnown,
        missedDeclarations,
        falseDeclarations * 3_600.0 / MembershipBenchmark.TOTAL_SECONDS / count,
        (count - 1.0) * OutboundMessages.MESSAGE_BYTES);
  }

  /** Simulates the heartbeats of one member as received by one other member. */
  private void simulatePair(int subject) {
    boolean fails = subject >= 1 && subject <= failing;
    double lastHeard = 0;
    boolean faulty = false;
    for (double time = random.nextDouble(); time <= MembershipBenchmark.TOTAL_SECONDS; time++) {
      boolean failed = fails && time >= MembershipBenchmark.SETTLE_SECONDS;
      boolean sent = !failed && !isPaused(subject, time);
      boolean arrived = sent && random.nextDouble() >= workload.loss();
      if (time - lastHeard >= MAX_MISSING_HEARTBEATS && !faulty) {
        faulty = true;
        onDeclaredFaulty(failed, lastHeard);
      }
      lastHeard = arrived ? time : lastHeard;
      faulty = faulty && !arrived;
    }
    if (fails && !faulty) {
      missedDeclarations++;
    }
  }

  private boolean isPaused(int subject, double time) {
    int paused = count / PAUSED_DIVISOR;
    boolean pauses =
        workload.pauseSeconds() > 0 && subject > failing && subject <= failing + paused;
    if (!pauses) {
      return false;
    }
    double start = (double) MembershipBenchmark.TOTAL_SECONDS * (subject - failing - 1) / paused;
    return time >= start && time < start + workload.pauseSeconds();
  }

  private void onDeclaredFaulty(boolean failed, double lastHeard) {
    if (failed) {
      double declared = lastHeard + MAX_MISSING_HEARTBEATS - MembershipBenchmark.SETTLE_SECONDS;
      secondsUntilKnown = Math.max(secondsUntilKnown, declared);
    } else {
      falseDeclarations++;
    }
  }
}
