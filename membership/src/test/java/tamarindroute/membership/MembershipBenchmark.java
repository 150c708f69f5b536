package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Compares three protocols in virtual time: the membership protocol, the same protocol without its
 * guards, and heartbeats from each member to all others. Prints the time until all members have
 * declared the failed ones faulty, missed declarations, false declarations per member and hour,
 * bytes sent per second and member, and the size of a member's state.
 *
 * <p>Arguments: number of random seeds and number of members, then optionally the protocols,
 * separated by commas, and a text that the names of the selected workloads contain.
 */
final class MembershipBenchmark {

  /**
   * Faults in addition to the failures that are measured.
   *
   * @param name name in the output
   * @param loss probability that a message is lost, 0 to 1
   * @param pauseSeconds length of the pause that a tenth of the members have once each; 0 for none
   * @param oneWayCut whether all messages from the first member are lost
   */
  record Workload(String name, double loss, double pauseSeconds, boolean oneWayCut) {}

  /**
   * Result of one run.
   *
   * @param secondsUntilKnown time from the failures until the last declaration of a failed member
   * @param missed number of pairs of observer and failed member without a declaration at the end
   * @param falsePerMemberHour false declarations per member and hour
   * @param bytesPerSecond bytes sent per second and member
   */
  record Result(
      double secondsUntilKnown, double missed, double falsePerMemberHour, double bytesPerSecond) {}

  private static final List<Workload> WORKLOADS =
      List.of(
          new Workload("loss 0%", 0, 0, false),
          new Workload("loss 5%", 0.05, 0, false),
          new Workload("loss 20%", 0.2, 0, false),
          new Workload("loss 30%", 0.3, 0, false),
          new Workload("20%, pauses 0.2 s", 0.2, 0.2, false),
          new Workload("20%, pauses 1 s", 0.2, 1, false),
          new Workload("20%, pauses 3 s", 0.2, 3, false),
          new Workload("20%, pauses 5 s", 0.2, 5, false),
          new Workload("20%, pauses 10 s", 0.2, 10, false),
          new Workload("20%, one cut one way", 0.2, 0, true));

  /** Time from the start to the failures. */
  static final int SETTLE_SECONDS = 10;

  /** Time from the failures to the end. */
  private static final int OBSERVE_SECONDS = 20;

  static final int TOTAL_SECONDS = SETTLE_SECONDS + OBSERVE_SECONDS;
  private static final int CUT_AFTER_SECONDS = 2;

  /** One member out of this number is killed. */
  private static final int FAILING_DIVISOR = 100;

  /** One member out of this number is paused. */
  private static final int PAUSED_DIVISOR = 10;

  private static final int MAX_DELAY_MILLIS = 40;

  private MembershipBenchmark() {}

  public static void main(String[] arguments) {
    List<String> protocols =
        List.of(
            (arguments.length > 2 ? arguments[2] : "membership,unguarded,heartbeats").split(","));
    int seeds = Integer.parseInt(arguments[0]);
    int count = Integer.parseInt(arguments[1]);
    System.out.printf("state of one of %d members: %d bytes%n", count, stateBytes(count));
    for (Workload workload : WORKLOADS) {
      if (arguments.length > 3 && !workload.name.contains(arguments[3])) {
        continue;
      }
      for (String protocol : protocols) {
        List<Result> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          results.add(
              protocol.equals("heartbeats")
                  ? new HeartbeatSimulation(count, workload, seed).run()
                  : runMembership(
                      count,
                      workload,
                      seed,
                      protocol.equals("membership")
                          ? MembershipSettings.DEFAULTS
                          : MembershipSettings.DEFAULTS.withGuards(
                              MembershipSettings.Guards.NONE)));
        }
        print(count, workload.name, protocol, results);
      }
    }
  }

  /**
   * Returns the heap bytes of one member with a table for a group of the given size. Members share
   * no objects in the measurement.
   */
  private static long stateBytes(int count) {
    List<Membership> retained = new ArrayList<>();
    int copies = Math.max(1, 20_000 / count);
    long before = usedHeapBytes();
    for (int copy = 0; copy < copies; copy++) {
      Member self = new Member(new Address("10.1.0.0", 7_000), 1);
      Membership membership =
          new Membership(MembershipSettings.DEFAULTS, self, List.of(), Duration.ZERO);
      for (int i = 0; i < count - 1; i++) {
        Member other = new Member(new Address("10.0." + i / 250 + "." + i % 250, 7_000), 1);
        membership.onMessage(
            new Message(Message.Kind.WELCOME, other, 1, 1, other, List.of()), Duration.ZERO);
      }
      membership.clearPending();
      retained.add(membership);
    }
    return (usedHeapBytes() - before) / retained.size();
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static void print(int count, String name, String protocol, List<Result> results) {
    System.out.printf(
        Locale.ROOT,
        "| %d | %s | %s | %s | %s | %s | %s | %d |%n",
        count,
        name,
        protocol,
        medianAndRange(results.stream().mapToDouble(Result::secondsUntilKnown).sorted().toArray()),
        medianAndRange(results.stream().mapToDouble(Result::missed).sorted().toArray()),
        medianAndRange(results.stream().mapToDouble(Result::falsePerMemberHour).sorted().toArray()),
        medianAndRange(results.stream().mapToDouble(Result::bytesPerSecond).sorted().toArray()),
        results.size());
  }

  /** Returns median, minimum and maximum as text. */
  private static String medianAndRange(double[] sorted) {
    return String.format(
        Locale.ROOT,
        "%.4g (%.4g to %.4g)",
        sorted[sorted.length / 2],
        sorted[0],
        sorted[sorted.length - 1]);
  }

  /** Returns the number of members that are killed: a hundredth, but at least one. */
  static int failingMembers(int count) {
    return Math.max(1, count / FAILING_DIVISOR);
  }

  private static Result runMembership(
      int count, Workload workload, int seed, MembershipSettings settings) {
    MembershipSimulator simulator = new MembershipSimulator(settings, count, seed).startJoined();
    simulator.lossProbability = workload.loss;
    simulator.maxDelayNanos = Duration.ofMillis(MAX_DELAY_MILLIS).toNanos();
    FailureRecorder recorder = new FailureRecorder(simulator, workload.oneWayCut);
    int failing = failingMembers(count);
    schedulePauses(simulator, workload, failing);
    if (workload.oneWayCut) {
      simulator.schedule(
          Duration.ofSeconds(CUT_AFTER_SECONDS),
          () -> simulator.linkFilter = (from, to) -> from == 0);
    }
    simulator.run(Duration.ofSeconds(SETTLE_SECONDS));
    for (int i = 1; i <= failing; i++) {
      simulator.kill(i);
    }
    simulator.run(Duration.ofSeconds(OBSERVE_SECONDS));
    double known = recorder.lastDeclaredSeconds();
    return new Result(
        known == 0 ? 0 : known - SETTLE_SECONDS,
        missedDeclarations(recorder, count, failing, workload.oneWayCut ? 1 : 0),
        recorder.falseDeclarations() * 3_600.0 / TOTAL_SECONDS / count,
        simulator.sentBytes / (double) TOTAL_SECONDS / count);
  }

  private static double missedDeclarations(
      FailureRecorder recorder, int count, int failing, int cutOff) {
    double missed = 0;
    for (int killed = 1; killed <= failing; killed++) {
      missed += Math.max(0, count - failing - cutOff - recorder.observerCount(killed));
    }
    return missed;
  }

  /** Schedules one pause for each of a tenth of the members, evenly spread over the whole time. */
  private static void schedulePauses(
      MembershipSimulator simulator, Workload workload, int failing) {
    int count = simulator.nodes.size();
    int paused = workload.pauseSeconds > 0 ? count / PAUSED_DIVISOR : 0;
    Duration length = Duration.ofMillis((long) (workload.pauseSeconds * 1_000));
    for (int i = 0; i < paused; i++) {
      int index = failing + 1 + i;
      simulator.schedule(
          Duration.ofMillis((long) (1_000.0 * TOTAL_SECONDS * i / paused)),
          () -> simulator.pause(index, length));
    }
  }
}
