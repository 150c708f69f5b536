package tamarindroute.endings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Plays many seeds, for those who hunt: -Dseeds=FROM-TO, -Dms=LENGTH, -Dfaults=NAME,... (else some
 * of all, by the seed; none for none), -Dwithout=NAME,..., -Dout=FOLDER for the journals of broken
 * plays, -Dside=PLAYS_AT_ONCE. Started in the repository's root. Side by side, a gateway may come
 * up on the port of another play's cache that refuses: its warm-up then answers there, with bytes
 * that are no cache's.
 */
final class Runner {

  private Runner() {}

  /** Some of the faults: by the seed one to all kinds, so that each is met alone and in company. */
  static Set<Fault> some(long seed, Set<Fault> of) {
    SplittableRandom chance = new SplittableRandom(seed ^ 0x5eed);
    double part = 0.1 + 0.6 * chance.nextDouble();
    Set<Fault> some = EnumSet.noneOf(Fault.class);
    of.stream().filter(f -> chance.nextDouble() < part).forEach(some::add);
    return some;
  }

  public static void main(String[] arguments) throws Exception {
    String[] range = System.getProperty("seeds", "1-10").split("-");
    long ms = Long.getLong("ms", 4000);
    String named = System.getProperty("faults", "");
    Path out = Path.of(System.getProperty("out", System.getProperty("java.io.tmpdir")));
    List<Thread> threads = new ArrayList<>();
    Map<String, Integer> counts = new TreeMap<>();
    AtomicLong next = new AtomicLong(Long.parseLong(range[0]));
    long last = Long.parseLong(range[range.length - 1]);
    for (int i = 0; i < Integer.getInteger("side", 1); i++) {
      Thread thread =
          new Thread(
              () -> {
                for (long seed = next.getAndIncrement();
                    seed <= last;
                    seed = next.getAndIncrement()) {
                  one(seed, ms, named, out, counts);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    System.out.println("breaches " + counts);
    System.exit(counts.isEmpty() ? 0 : 1);
  }

  private static void one(long seed, long ms, String named, Path out, Map<String, Integer> counts) {
    Set<Fault> faults = EnumSet.noneOf(Fault.class);
    if (named.isEmpty()) {
      faults.addAll(some(seed, EnumSet.allOf(Fault.class)));
    } else {
      for (String name : named.split(",")) {
        if (!name.equals("none")) {
          faults.add(Fault.valueOf(name));
        }
      }
    }
    for (String name : System.getProperty("without", "").split(",")) {
      faults.removeIf(fault -> fault.name().equals(name));
    }
    try {
      Path folder = Files.createDirectories(out.resolve("play-" + seed));
      Journal journal = Play.play(seed, faults, folder, ms);
      List<Check.Breach> breaches = Judge.judge(journal);
      Files.writeString(
          folder.resolve("journal.txt"),
          String.join("\n", journal.all().stream().map(journal::line).toList()));
      StringBuilder told =
          new StringBuilder(
              "seed "
                  + seed
                  + " "
                  + faults
                  + ", "
                  + journal.of(Journal.Kind.SENT).size()
                  + " requests, "
                  + journal.of(Journal.Kind.ASKED).size()
                  + " attempts, "
                  + journal.of(Journal.Kind.ANSWERED).size()
                  + " answers, allowance "
                  + journal.allowance() / Journal.MS
                  + " ms: "
                  + breaches.size()
                  + " breaches");
      synchronized (counts) {
        breaches.forEach(b -> counts.merge(b.check(), 1, Integer::sum));
      }
      breaches.stream()
          .limit(12)
          .forEach(
              b ->
                  told.append("\n    ")
                      .append(b.check())
                      .append(' ')
                      .append(b.rid())
                      .append(": ")
                      .append(b.what()));
      Files.writeString(
          folder.resolve("breaches.txt"), told + "\n" + Judge.told(journal, breaches));
      System.out.println(told);
    } catch (Exception e) {
      System.out.println("seed " + seed + " failed to play: " + e);
      synchronized (counts) {
        counts.merge("not played", 1, Integer::sum);
      }
    }
  }
}
