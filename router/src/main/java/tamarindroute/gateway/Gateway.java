package tamarindroute.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import sun.misc.Signal;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Settings;
import tamarindroute.host.Clock;
import tamarindroute.host.Companion;
import tamarindroute.host.Config;
import tamarindroute.host.Instance;
import tamarindroute.host.Roster;
import tamarindroute.host.Steady;
import tamarindroute.log.Log;

/**
 * Owns one gateway's life: its start from the configuration, the wiring of the stages, readiness,
 * the reading of a new configuration on SIGHUP, and the way out on SIGTERM. It must never take part
 * in a view's way.
 */
public final class Gateway {

  /**
   * New connections come for 0.4 s after SIGTERM, requests on them for 0.2 s more; and a bit for
   * good measure.
   */
  private static final Duration STILL_COMING = Duration.ofMillis(750);

  /**
   * SIGKILL may come 0.7 s after the longest cut-off, counted as 3 s at most; all is answered
   * before.
   */
  private static final Duration LONGEST = Duration.ofSeconds(3);

  private static final Duration LAST_ANSWERS = Duration.ofMillis(500);

  /**
   * For those answers' bytes to leave and the clients to close; the rest of the 0.7 s is the
   * machine's own end.
   */
  private static final Duration LAST_BYTES = Duration.ofMillis(100);

  private final Instance instance;
  private final Clock clock;
  private final Config config;
  private final Chain chain;
  private final WarmUp warmUp;
  private final Duration longest;
  private final Companion companion;

  private Gateway(Config config, Function<Settings, Decisions> module, Companion companion)
      throws IOException {
    this.companion = companion;
    this.config = config.started();
    this.longest = config.settings().longestCutOff();
    this.clock = new Clock();
    Decisions decisions = module.apply(config.settings().settings(config.seed()));
    instance = new Instance(config, clock, List.of(decisions));
    chain = new Chain(config.settings(), decisions, clock, instance.pool(), instance.roster());
    warmUp = new WarmUp(clock, instance.sockets(), config, aside(module), this::warm);
    instance.pool().whenRoom(() -> clock.handOver(chain::room));
  }

  /** A chain with a module and a list of its own, whose caches are all this gateway itself. */
  private Chain aside(Function<Settings, Decisions> module) throws IOException {
    Decisions decisions = module.apply(config.settings().settings(config.seed()));
    Roster roster =
        new Roster(
            config.settings(),
            List.of(decisions),
            clock,
            (id, address) -> instance.line(id, config.listen()));
    return new Chain(config.settings(), decisions, clock, instance.pool(), roster);
  }

  /** Starts a gateway alone. */
  public static void start(String path, Function<Settings, Decisions> module) throws IOException {
    start(path, module, null);
  }

  /**
   * Starts a gateway from its configuration file, with what lives beside it or null; returns at
   * once, the rest goes on in threads of its own.
   */
  public static synchronized void start(
      String path, Function<Settings, Decisions> module, Companion companion) throws IOException {
    // SIGHUP would end the process until it has a handler: this goes before all else.
    AtomicReference<Gateway> started = new AtomicReference<>();
    Signal.handle(new Signal("HUP"), signal -> reread(path, started));
    Gateway gateway = new Gateway(Config.read(path), module, companion);
    gateway.clock.handOver(gateway::open);
    started.set(gateway);
    Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
  }

  /**
   * On SIGHUP, on a thread of the signal's: reads the configuration again, after the start and one
   * reading at a time. A new feed is taken up; all else holds until the next start, since sizes are
   * derived from it once.
   */
  private static synchronized void reread(String path, AtomicReference<Gateway> started) {
    Gateway gateway = started.get();
    try {
      Config told = Config.read(path);
      List<String> later = gateway.config.differsIn(told);
      Log.line(
          "config",
          "read again, feed "
              + told.feed()
              + (later.isEmpty()
                  ? ""
                  : "; not before the next start: " + String.join(", ", later)));
      gateway.clock.handOver(() -> gateway.instance.move(told.feed()));
    } catch (IOException e) {
      Log.line("config-unusable", "the old one holds: " + e.getMessage());
    }
  }

  private void open() {
    try {
      if (companion != null) {
        companion.started(instance);
      }
    } catch (IOException e) {
      fail(e.getMessage());
    }
    try {
      instance.known();
    } catch (RuntimeException e) {
      // A list that the module can't take must not keep the door shut; the feed tells it again.
      Log.defect(e);
    }
    try {
      instance
          .sockets()
          .listen(
              config.listen(),
              connection ->
                  warmUp.over()
                      ? chain.takeIn(connection)
                      : warmUp.door(connection, chain::takeIn));
    } catch (IOException | RuntimeException e) {
      fail("cannot listen on " + config.listen() + ": " + e.getMessage());
    }
    instance.follow();
    warmUp.start();
  }

  private static void fail(String why) {
    System.err.println("serve: " + why);
    Runtime.getRuntime().halt(1);
  }

  /** The code is warm: clients may come, once the list is in. */
  private void warm() {
    Log.line("warm", "after " + clock.now().toMillis() + " ms, " + warmUp.views() + " views");
    if (chain.roster().listed()) {
      chain.ready(true);
    } else {
      chain.roster().whenListed(() -> chain.ready(true));
    }
  }

  /**
   * On SIGTERM, on the stopping thread, which waits and does nothing else: takes in on for a while,
   * then shuts the door, answers all, and lets the process end when the last bytes have left. A
   * second SIGTERM changes nothing.
   */
  private void stop() {
    Duration from = Steady.now();
    CompletableFuture<Void> quiet = new CompletableFuture<>();
    clock.handOver(
        () -> {
          clock.after(STILL_COMING, () -> quiet.complete(null));
          chain.ready(false);
          if (companion != null) {
            companion.stopping();
          }
        });
    await(quiet, STILL_COMING.plus(LAST_BYTES));
    instance.sockets().shutDoor();
    Duration left =
        from.plus(longest.compareTo(LONGEST) < 0 ? longest : LONGEST)
            .plus(LAST_ANSWERS)
            .minus(Steady.now());
    CompletableFuture<Void> over = new CompletableFuture<>();
    clock.handOver(() -> leave(left, over));
    await(over, left.plus(LAST_BYTES));
    Log.line(
        "stop",
        Steady.now().minus(from).toMillis() + " ms after SIGTERM, " + chain.inHand() + " in hand");
    instance.sockets().shutDown();
  }

  /**
   * Clients go as they have their answers; what is in hand at last is answered then, and its bytes
   * leave.
   */
  private void leave(Duration left, CompletableFuture<Void> over) {
    clock.after(left, chain::endAll);
    chain.leave();
    instance.sockets().whenNoClients(() -> over.complete(null));
  }

  /** Clients that never close, or an owner's thread without time for it, do not hold the end. */
  private static void await(CompletableFuture<Void> what, Duration atMost) {
    try {
      what.get(Math.max(0, atMost.toMillis()), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      // The end comes all the same, and its line tells what was left.
    } catch (InterruptedException | ExecutionException e) {
      Log.line("stop", e);
    }
  }
}
