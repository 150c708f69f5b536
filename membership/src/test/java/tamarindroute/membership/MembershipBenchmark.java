package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Compares three protocols in virtual time: this membership, the same without its guards, and
 * heartbeats from all to all. Prints how long it takes until a failure is known to all, false
 * declarations per member and hour, bytes a second and the size of the state.
 *
 * <p>Arguments: number of seeds, number of members; optionally the protocols, separated by commas,
 * and a part of the workloads' names.
 */
final class MembershipBenchmark {

  /**
   * A workload.
   *
   * @param loss probability that a message is lost
   * @param pauseSeconds length of one pause of a tenth of the members; 0 for none
   * @param oneWayCut whether everything from one member is lost
   */
  private record Workload(String name, double loss, double pauseSeconds, boolean oneWayCut) {}

  private record Result(
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
  private static final int SETTLE_SECONDS = 10;
  private static final int OBSERVE_SECONDS = 20;

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
                  ? runHeartbeats(count, workload, seed)
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

  /** Heap bytes of one member that knows this many, sharing no objects with others. */
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
        spread(results.stream().mapToDouble(Result::secondsUntilKnown).sorted().toArray()),
        spread(results.stream().mapToDouble(Result::missed).sorted().toArray()),
        spread(results.stream().mapToDouble(Result::falsePerMemberHour).sorted().toArray()),
        spread(results.stream().mapToDouble(Result::bytesPerSecond).sorted().toArray()),
        results.size());
  }

  private static String spread(double[] sorted) {
    return String.format(
        Locale.ROOT,
        "%.4g (%.4g to %.4g)",
        sorted[sorted.length / 2],
        sorted[0],
        sorted[sorted.length - 1]);
  }

  private static Result runMembership(
      int count, Workload workload, int seed, MembershipSettings settings) {
    MembershipSimulator simulator = new MembershipSimulator(settings, count, seed).startJoined();
    simulator.loss = workload.loss;
    simulator.maxDelayNanos = Duration.ofMillis(40).toNanos();
    Map<Address, Integer> indexByAddress = new HashMap<>();
    for (int i = 0; i < count; i++) {
      indexByAddress.put(simulator.nodes.get(i).address, i);
    }
    Map<Integer, Set<Integer>> known = new HashMap<>();
    long[] falseFaulty = {0};
    double[] last = {0};
    simulator.observers.add(
        (node, actions) ->
            actions.forEach(
                action -> {
                  if (action instanceof Action.StateChanged change
                      && change.state() == MemberState.FAULTY) {
                    int subject = indexByAddress.get(change.member().address());
                    if (simulator.nodes.get(subject).killed) {
                      known.computeIfAbsent(subject, subjectKey -> new HashSet<>()).add(node);
                      last[0] = simulator.now().toNanos() / 1e9 - SETTLE_SECONDS;
                    } else if (!workload.oneWayCut || subject != 0) {
                      falseFaulty[0]++;
                    }
                  }
                }));
    int dead = Math.max(1, count / 100);
    schedulePauses(simulator, workload, dead);
    if (workload.oneWayCut) {
      simulator.schedule(
          Duration.ofSeconds(2), () -> simulator.linkFilter = (from, to) -> from == 0);
    }
    simulator.run(Duration.ofSeconds(SETTLE_SECONDS));
    for (int i = 1; i <= dead; i++) {
      simulator.kill(i);
    }
    simulator.run(Duration.ofSeconds(OBSERVE_SECONDS));
    int cutOne = workload.oneWayCut ? 1 : 0;
    double missed = 0;
    for (int i = 1; i <= dead; i++) {
      Set<Integer> observers = known.getOrDefault(i, Set.of());
      missed +=
          Math.max(
              0,
              count
                  - dead
                  - cutOne
                  - observers.stream().filter(n -> cutOne == 0 || n != 0).count());
    }
    int span = SETTLE_SECONDS + OBSERVE_SECONDS;
    return new Result(
        last[0],
        missed,
        falseFaulty[0] * 3_600.0 / span / count,
        simulator.bytes / (double) span / count);
  }

  /** Pauses a tenth of the members once each, spread over the whole time. */
  private static void schedulePauses(MembershipSimulator simulator, Workload workload, int dead) {
    int count = simulator.nodes.size();
    for (int i = 0; i < count / 10 && workload.pauseSeconds > 0; i++) {
      int index = dead + 1 + i;
      simulator.schedule(
          Duration.ofMillis(
              (long) (1_000.0 * (SETTLE_SECONDS + OBSERVE_SECONDS) * i / (count / 10))),
          () -> simulator.pause(index, Duration.ofMillis((long) (workload.pauseSeconds * 1_000))));
    }
  }

  /**
   * Heartbeats every period from each member to all others; a member is declared faulty after five
   * missing ones. Each pair is simulated by itself.
   */
  private static Result runHeartbeats(int count, Workload workload, int seed) {
    int missingHeartbeats = 5;
    int span = SETTLE_SECONDS + OBSERVE_SECONDS;
    SplittableRandom random = new SplittableRandom(seed);
    int dead = Math.max(1, count / 100);
    long falseFaulty = 0;
    double last = 0;
    long unknown = 0;
    for (int subject = 0; subject < count; subject++) {
      boolean stops = workload.pauseSeconds > 0 && subject > dead && subject <= dead + count / 10;
      double stop = stops ? (double) span * (subject - dead - 1) / (count / 10) : -1;
      boolean dies = subject >= 1 && subject <= dead;
      for (int observer = 0; observer < count; observer++) {
        if (observer == subject || workload.oneWayCut && subject == 0) {
          continue;
        }
        double lastHeard = 0;
        boolean faulty = false;
        double phase = random.nextDouble();
        for (double time = phase; time <= span; time++) {
          boolean sent =
              !(dies && time >= SETTLE_SECONDS)
                  && !(stop >= 0 && time >= stop && time < stop + workload.pauseSeconds);
          boolean arrived = sent && random.nextDouble() >= workload.loss;
          if (time - lastHeard >= missingHeartbeats && !faulty) {
            faulty = true;
            if (dies && time >= SETTLE_SECONDS) {
              last = Math.max(last, lastHeard + missingHeartbeats - SETTLE_SECONDS);
            } else {
              falseFaulty++;
            }
          }
          lastHeard = arrived ? time : lastHeard;
          faulty = faulty && !arrived;
        }
        unknown += dies && !faulty ? 1 : 0;
      }
    }
    return new Result(
        last,
        unknown,
        falseFaulty * 3_600.0 / span / count,
        (count - 1.0) * OutboundMessages.MESSAGE_BYTES);
  }
}
