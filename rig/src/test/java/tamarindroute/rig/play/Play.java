package tamarindroute.rig.play;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.Line;
import tamarindroute.rig.proxy.Fault;
import tamarindroute.rig.proxy.Proxies;
import tamarindroute.rig.schedule.Schedule;
import tamarindroute.rig.schedule.Stage;

/**
 * One play of a schedule, from the start of its processes to their end. Gives the journal back and
 * judges nothing.
 */
public final class Play implements Stage, AutoCloseable {

  /** Sixteen processes that start at once on two cores take some 15 s. */
  private static final Duration START = Duration.ofSeconds(60);

  /**
   * More that start at once keep those that are there from running for seconds, which a member
   * takes for a pause.
   */
  private static final int AT_ONCE = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);

  /** The clients' deadline, and as much again for whoever was paused shortly before. */
  private static final long LAST_ANSWERS_MILLIS = 3500;

  private final Schedule schedule;
  private final Path folder;
  private final Journal journal = new Journal();
  private final Proxies proxies;
  private final Signals signals = new Signals();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task, "timer of the play");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, Actor> actors = new LinkedHashMap<>();
  private final Town town;
  private final Commands commands;
  private Clients clients;

  private Play(Schedule schedule, Path folder) throws IOException {
    this.schedule = schedule;
    this.folder = Files.createDirectories(folder);
    proxies = new Proxies(schedule.seed);
    Map<String, Integer> ports = new LinkedHashMap<>();
    for (String name : schedule.numbers()) {
      ports.put(name, Ports.free());
    }
    town = schedule.kind == Schedule.Kind.STAND_INS ? null : new Town(schedule, journal, proxies);
    commands = new Commands(schedule, folder, ports, town, proxies);
    ports.forEach(
        (name, port) ->
            actors.put(
                name,
                new Actor(
                    name, port, clock -> commands.make(name, clock), journal, signals, timer)));
  }

  /** Plays it; the journal is also left in the folder. */
  public static List<Line> play(Schedule schedule, Path folder) throws Exception {
    try (Play play = new Play(schedule, folder)) {
      play.run();
      return play.journal.lines();
    }
  }

  private void run() throws Exception {
    journal.add("rig", "schedule " + schedule.file + " seed=" + schedule.seed);
    for (Schedule.Step step : schedule.steps) {
      if (step.at().isZero()) {
        doIt(step);
      }
    }
    List<Actor> all = List.copyOf(actors.values());
    for (int i = 0; i < all.size(); i++) {
      if (i >= AT_ONCE) {
        commands.awaitReady(all.get(i - AT_ONCE), journal, START);
      }
      all.get(i).start(Duration.ZERO);
    }
    for (Actor actor : actors.values()) {
      commands.awaitReady(actor, journal, START);
    }
    commands.awaitMet(journal, START);
    Duration start = journal.add("rig", "the play begins");
    if (schedule.clients > 0) {
      Map<String, InetSocketAddress> gateways = new LinkedHashMap<>();
      actors.forEach(
          (name, actor) -> gateways.put(name, new InetSocketAddress("127.0.0.1", actor.port)));
      clients = new Clients(journal, schedule.seed, gateways);
      clients.start(timer, schedule.clients);
    }
    for (Schedule.Step step : schedule.steps) {
      if (!step.at().isZero()) {
        waitUntil(start.plus(step.at()));
        doIt(step);
      }
    }
    waitUntil(start.plus(schedule.until));
    if (clients != null) {
      clients.finish(LAST_ANSWERS_MILLIS);
    }
    journal.add("rig", "the play ends");
  }

  private void doIt(Schedule.Step step) throws Exception {
    journal.add("rig", "does " + step.text());
    step.deed().on(this);
  }

  private void waitUntil(Duration time) throws InterruptedException {
    long nanos = time.minus(journal.now()).toNanos();
    if (nanos > 0) {
      TimeUnit.NANOSECONDS.sleep(nanos);
    }
  }

  @Override
  public void fault(List<String> from, List<String> to, UnaryOperator<Fault> change) {
    for (String one : from) {
      for (String other : to) {
        if (!one.equals(other)) {
          proxies.fault(
              one,
              other,
              fault -> {
                Fault now = change.apply(fault);
                if (now.cut() != fault.cut()) {
                  journal.add(
                      "rig", "way " + one + " > " + other + (now.cut() ? " cut" : " whole"));
                }
                return now;
              });
        }
      }
    }
  }

  @Override
  public void reset() {
    proxies.reset();
  }

  @Override
  public void stop(String process, Duration length) throws IOException {
    actors.get(process).stop(length);
  }

  @Override
  public void starve(String process, Duration length) {
    actors.get(process).starve(length);
  }

  @Override
  public void kill(String process) throws Exception {
    actors.get(process).kill();
  }

  @Override
  public void leave(String process) throws IOException {
    actors.get(process).leave();
  }

  @Override
  public void start(String process, Duration clock) throws Exception {
    actors.get(process).start(clock);
  }

  @Override
  public void tell(String cache, String state, List<String> feeds) {
    town.tell(cache, state, feeds);
  }

  @Override
  public void mode(String cache, String mode) {
    town.mode(cache, mode);
  }

  @Override
  public void close() throws Exception {
    for (Actor actor : actors.values()) {
      actor.end();
    }
    timer.shutdownNow();
    try (Signals last = signals;
        Proxies ways = proxies;
        Town stands = town;
        Clients some = clients) {
      journal.write(folder.resolve("journal.log"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
