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
 * Measures in virtual time: how long until the dead are known to all, false words per member and
 * hour, bytes a second, state a member; of the machine, of probes without its guards, and of
 * heartbeats from all to all.
 *
 * <p>Arguments: seeds, members; then, for fewer, the ways by commas, and a part of the cases'
 * names.
 */
final class Measure {

  /** One case: so many lost, all of a tenth stopped for so long, or one whose sending is cut. */
  private record Case(String name, double loss, double pause, boolean oneSided) {}

  private record Played(double known, double missed, double falseAnHour, double bytes) {}

  private static final List<Case> CASES =
      List.of(
          new Case("loss 0%", 0, 0, false),
          new Case("loss 5%", 0.05, 0, false),
          new Case("loss 20%", 0.2, 0, false),
          new Case("loss 30%", 0.3, 0, false),
          new Case("20%, pauses 0.2 s", 0.2, 0.2, false),
          new Case("20%, pauses 1 s", 0.2, 1, false),
          new Case("20%, pauses 3 s", 0.2, 3, false),
          new Case("20%, pauses 5 s", 0.2, 5, false),
          new Case("20%, pauses 10 s", 0.2, 10, false),
          new Case("20%, one cut one way", 0.2, 0, true));
  private static final int QUIET = 10;
  private static final int AFTER = 20;

  private Measure() {}

  public static void main(String[] arguments) {
    List<String> ways =
        List.of(
            (arguments.length > 2 ? arguments[2] : "membership,unguarded,heartbeats").split(","));
    int seeds = Integer.parseInt(arguments[0]);
    int count = Integer.parseInt(arguments[1]);
    System.out.printf("state of one of %d members: %d bytes%n", count, state(count));
    for (Case one : CASES) {
      if (arguments.length > 3 && !one.name.contains(arguments[3])) {
        continue;
      }
      for (String way : ways) {
        List<Played> played = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          played.add(
              way.equals("heartbeats")
                  ? heartbeats(count, one, seed)
                  : probes(
                      count,
                      one,
                      seed,
                      way.equals("membership")
                          ? Settings.USUAL
                          : Settings.USUAL.with(Settings.Guards.NONE)));
        }
        tell(count, one.name, way, played);
      }
    }
  }

  /** What one member keeps of so many others, none of its objects shared. */
  private static long state(int count) {
    List<Membership> kept = new ArrayList<>();
    int copies = Math.max(1, 20_000 / count);
    long before = used();
    for (int copy = 0; copy < copies; copy++) {
      Member self = new Member(new Address("10.1.0.0", 7_000), 1);
      Membership one = new Membership(Settings.USUAL, self, List.of(), Duration.ZERO);
      for (int i = 0; i < count - 1; i++) {
        Member other = new Member(new Address("10.0." + i / 250 + "." + i % 250, 7_000), 1);
        one.told(new Message(Message.Kind.WELCOME, other, 1, 1, other, List.of()), Duration.ZERO);
      }
      one.forget();
      kept.add(one);
    }
    return (used() - before) / kept.size();
  }

  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static void tell(int count, String name, String way, List<Played> played) {
    System.out.printf(
        Locale.ROOT,
        "| %d | %s | %s | %s | %s | %s | %s | %d |%n",
        count,
        name,
        way,
        spread(played.stream().mapToDouble(Played::known).sorted().toArray()),
        spread(played.stream().mapToDouble(Played::missed).sorted().toArray()),
        spread(played.stream().mapToDouble(Played::falseAnHour).sorted().toArray()),
        spread(played.stream().mapToDouble(Played::bytes).sorted().toArray()),
        played.size());
  }

  private static String spread(double[] sorted) {
    return String.format(
        Locale.ROOT,
        "%.4g (%.4g to %.4g)",
        sorted[sorted.length / 2],
        sorted[0],
        sorted[sorted.length - 1]);
  }

  private static Played probes(int count, Case one, int seed, Settings settings) {
    Sim sim = new Sim(settings, count, seed).acquainted();
    sim.loss = one.loss;
    sim.delayMax = Duration.ofMillis(40).toNanos();
    Map<Address, Integer> places = new HashMap<>();
    for (int i = 0; i < count; i++) {
      places.put(sim.nodes.get(i).address, i);
    }
    Map<Integer, Set<Integer>> known = new HashMap<>();
    long[] falses = {0};
    double[] last = {0};
    sim.observers.add(
        (node, actions) ->
            actions.forEach(
                action -> {
                  if (action instanceof Action.Became became
                      && became.standing() == Standing.AWAY) {
                    int of = places.get(became.about().address());
                    if (sim.nodes.get(of).dead) {
                      known.computeIfAbsent(of, k -> new HashSet<>()).add(node);
                      last[0] = sim.now().toNanos() / 1e9 - QUIET;
                    } else if (!one.oneSided || of != 0) {
                      falses[0]++;
                    }
                  }
                }));
    int dead = Math.max(1, count / 100);
    pauses(sim, one, dead);
    if (one.oneSided) {
      sim.after(Duration.ofSeconds(2), () -> sim.cut = (from, to) -> from == 0);
    }
    sim.run(Duration.ofSeconds(QUIET));
    for (int i = 1; i <= dead; i++) {
      sim.kill(i);
    }
    sim.run(Duration.ofSeconds(AFTER));
    int cutOne = one.oneSided ? 1 : 0;
    double missed = 0;
    for (int i = 1; i <= dead; i++) {
      Set<Integer> who = known.getOrDefault(i, Set.of());
      missed +=
          Math.max(
              0, count - dead - cutOne - who.stream().filter(n -> cutOne == 0 || n != 0).count());
    }
    int span = QUIET + AFTER;
    return new Played(
        last[0], missed, falses[0] * 3_600.0 / span / count, sim.bytes / (double) span / count);
  }

  /** A tenth of all, each once, spread over the whole time. */
  private static void pauses(Sim sim, Case one, int dead) {
    int count = sim.nodes.size();
    for (int i = 0; i < count / 10 && one.pause > 0; i++) {
      int place = dead + 1 + i;
      sim.after(
          Duration.ofMillis((long) (1_000.0 * (QUIET + AFTER) * i / (count / 10))),
          () -> sim.stop(place, Duration.ofMillis((long) (one.pause * 1_000))));
    }
  }

  /**
   * Each tells all others that it lives every period; unheard for five, as long as probes take, one
   * is away. Each pair by itself, so that a drawn share of the pairs stands for all where there are
   * many.
   */
  private static Played heartbeats(int count, Case one, int seed) {
    int missing = 5;
    int span = QUIET + AFTER;
    SplittableRandom random = new SplittableRandom(seed);
    int dead = Math.max(1, count / 100);
    long falses = 0;
    double last = 0;
    long unknown = 0;
    for (int of = 0; of < count; of++) {
      boolean stops = one.pause > 0 && of > dead && of <= dead + count / 10;
      double stop = stops ? (double) span * (of - dead - 1) / (count / 10) : -1;
      boolean dies = of >= 1 && of <= dead;
      for (int at = 0; at < count; at++) {
        if (at == of || one.oneSided && of == 0) {
          continue;
        }
        double heard = 0;
        boolean away = false;
        double phase = random.nextDouble();
        for (double t = phase; t <= span; t++) {
          boolean sent = !(dies && t >= QUIET) && !(stop >= 0 && t >= stop && t < stop + one.pause);
          boolean came = sent && random.nextDouble() >= one.loss;
          if (t - heard >= missing && !away) {
            away = true;
            if (dies && t >= QUIET) {
              last = Math.max(last, heard + missing - QUIET);
            } else {
              falses++;
            }
          }
          heard = came ? t : heard;
          away = away && !came;
        }
        unknown += dies && !away ? 1 : 0;
      }
    }
    return new Played(
        last, unknown, falses * 3_600.0 / span / count, (count - 1.0) * Sends.MESSAGE);
  }
}
