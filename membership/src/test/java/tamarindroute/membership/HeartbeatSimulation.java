package tamarindroute.membership;

import java.util.SplittableRandom;

/**
 * Heartbeats every period from each member to all others; a member is declared faulty after five
 * missing ones. Each pair is simulated by itself.
 */
final class HeartbeatSimulation {

  private static final int MISSING_HEARTBEATS = 5;
  private static final int PAUSED_DIVISOR = 10;

  private final int count;
  private final MembershipBenchmark.Workload workload;
  private final SplittableRandom random;
  private final int failing;
  private long falseFaulty;
  private double secondsUntilKnown;
  private long unknown;

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
        unknown,
        falseFaulty * 3_600.0 / MembershipBenchmark.TOTAL_SECONDS / count,
        (count - 1.0) * OutboundMessages.MESSAGE_BYTES);
  }

  /** Simulates the heartbeats of one member at one other. */
  private void simulatePair(int subject) {
    boolean fails = subject >= 1 && subject <= failing;
    double lastHeard = 0;
    boolean faulty = false;
    for (double time = random.nextDouble(); time <= MembershipBenchmark.TOTAL_SECONDS; time++) {
      boolean failed = fails && time >= MembershipBenchmark.SETTLE_SECONDS;
      boolean sent = !failed && !isPaused(subject, time);
      boolean arrived = sent && random.nextDouble() >= workload.loss();
      if (time - lastHeard >= MISSING_HEARTBEATS && !faulty) {
        faulty = true;
        onDeclaredFaulty(failed, lastHeard);
      }
      lastHeard = arrived ? time : lastHeard;
      faulty = faulty && !arrived;
    }
    if (fails && !faulty) {
      unknown++;
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
      double declared = lastHeard + MISSING_HEARTBEATS - MembershipBenchmark.SETTLE_SECONDS;
      secondsUntilKnown = Math.max(secondsUntilKnown, declared);
    } else {
      falseFaulty++;
    }
  }
}
