package tamarindroute.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import tamarindroute.example.ToyServer;
import tamarindroute.gateway.FreePort;

/**
 * One scenario: the program as a process between simulated peers, from its start to its end by
 * SIGTERM.
 */
final class ScenarioRun implements AutoCloseable {

  private static final int CLIENTS = 8;
  private static final List<ScriptedCache.Kind> CACHES =
      List.of(
          ScriptedCache.Kind.EDGE,
          ScriptedCache.Kind.EDGE,
          ScriptedCache.Kind.EDGE,
          ScriptedCache.Kind.EDGE,
          ScriptedCache.Kind.PARENT,
          ScriptedCache.Kind.PARENT,
          ScriptedCache.Kind.ORIGIN);

  private static final long START_TIMEOUT_SECONDS = 30;
  private static final int MAX_HEALTH_QUERIES = 500;
  private static final long POLL_MS = 20;
  private static final long EXIT_TIMEOUT_MS = ScenarioContext.LONGEST_DEADLINE_MS + 4000L;
  private static final long CLIENTS_TIMEOUT_SECONDS = 8;

  /** When clients that leave responses unread have read them, after SIGTERM. */
  private static final long UNREAD_RESPONSES_READ_MS = 1900;

  private static final long SETTLE_MS = 100;

  private final ScenarioContext context;
  private final Path folder;
  private final List<ScriptedCache> caches = new ArrayList<>();
  private final List<ScriptedClient> clients = new ArrayList<>();
  private final List<Thread> clientThreads = new ArrayList<>();
  private final ScriptedFeed feed;
  private final InetSocketAddress gateway;
  private final ScenarioConfiguration configuration;
  private Process program;

  private ScenarioRun(long seed, Set<Fault> faults, Path folder) throws IOException {
    this.context = new ScenarioContext(seed, faults);
    this.folder = folder;
    for (int i = 0; i < CACHES.size(); i++) {
      caches.add(new ScriptedCache(context, "s-0000000" + (char) ('a' + i), CACHES.get(i)));
    }
    feed = new ScriptedFeed(context);
    gateway = Sockets.loopback(FreePort.find());
    configuration = new ScenarioConfiguration(context, folder, gateway.getPort(), caches);
  }

  /**
   * Runs a scenario and returns its journal.
   *
   * @param folder gets the configuration and the program's output
   * @param runMillis time between the program's start and SIGTERM
   */
  static Journal execute(long seed, Set<Fault> faults, Path folder, long runMillis)
      throws Exception {
    try (ScenarioRun scenario = new ScenarioRun(seed, faults, folder)) {
      scenario.run(runMillis);
      return scenario.context.journal;
    }
  }

  private void run(long runMillis) throws Exception {
    startProgram();
    context
        .journal
        .event(EventKind.NOTE, "scenario")
        .with(EventField.SECOND_COPIES, context.secondCopies)
        .with(EventField.FAULT_PROBABILITY, context.faultProbability)
        .add();
    Threads.start("stall monitor", new StallMonitor(context, program.pid())::run);
    startClients();
    FeedScript feedScript = new FeedScript(context, feed, caches, this::reloadConfiguration);
    Threads.start("script feed", feedScript::run);
    Threads.sleep(runMillis);
    terminate();
  }

  private void startProgram() throws Exception {
    configuration.write(feed.port());
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec deploy/serve.sh");
    builder.environment().put("EDGE_CONFIG", configuration.file().toString());
    builder
        .redirectOutput(folder.resolve("out.log").toFile())
        .redirectError(folder.resolve("err.log").toFile());
    program = builder.start();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    while (System.nanoTime() < deadline && program.isAlive()) {
      if (becomesReady()) {
        return;
      }
      Threads.sleep(POLL_MS);
    }
    throw new IOException("the program did not become ready");
  }

  /** Asks the gateway for its health until it is ready; false if it does not answer. */
  private boolean becomesReady() {
    try (Socket socket = new Socket()) {
      socket.connect(gateway, 1000);
      socket.setSoTimeout(2000);
      FrameReader reader = new FrameReader(socket, 0);
      for (int tag = 1; tag < MAX_HEALTH_QUERIES; tag++) {
        socket.getOutputStream().write(ToyServer.frame("RPC.HEALTH", tag, ""));
        if (FrameReader.text(reader.next().get(1)).equals("GREEN")) {
          return true;
        }
        Threads.sleep(POLL_MS);
      }
    } catch (IOException e) {
      // The gateway does not accept connections yet.
    }
    return false;
  }

  private void reloadConfiguration() {
    try {
      configuration.write(feed.port());
      new ProcessBuilder("kill", "-HUP", String.valueOf(program.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      context.journal.note("scenario", EventField.ERROR, e.getMessage());
    }
  }

  private void startClients() {
    Map<String, String> copyVersions = new ConcurrentHashMap<>();
    for (int number = 1; number <= CLIENTS; number++) {
      ScriptedClient client = new ScriptedClient(context, number, gateway, copyVersions);
      clients.add(client);
      clientThreads.add(Threads.start("client" + number, client::run));
    }
  }

  private void terminate() throws Exception {
    boolean busy = context.isActive(Fault.TERM_BUSY);
    if (!busy) {
      endClients();
    }
    context.journal.event(EventKind.TERMINATION_SIGNALLED, "scenario").add();
    context.terminatedAt = System.nanoTime();
    program.destroy();
    if (busy) {
      // For a while there are more connections, and more requests on the open ones.
      Threads.sleep(200 + Math.floorMod(context.seed, 5) * 100L);
    }
    clients.forEach(ScriptedClient::end);
    boolean exited = program.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    context
        .journal
        .event(EventKind.PROCESS_EXITED, "scenario")
        .with(EventField.EXIT_CODE, exited ? program.exitValue() : -1)
        .add();
    endClients();
    Threads.sleep(timeForUnreadResponses());
  }

  private long timeForUnreadResponses() {
    if (!context.isActive(Fault.TERM_UNREAD_RESPONSE)) {
      return SETTLE_MS;
    }
    long sinceTermination = (System.nanoTime() - context.terminatedAt) / Journal.NANOS_PER_MS;
    return Math.max(SETTLE_MS, UNREAD_RESPONSES_READ_MS - sinceTermination);
  }

  private void endClients() throws InterruptedException {
    clients.forEach(ScriptedClient::end);
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(CLIENTS_TIMEOUT_SECONDS);
    for (Thread thread : clientThreads) {
      thread.join(Math.max(1, (deadline - System.nanoTime()) / Journal.NANOS_PER_MS));
    }
  }

  @Override
  public void close() throws IOException {
    context.finished = true;
    if (program != null) {
      program.destroyForcibly().onExit().join();
    }
    feed.close();
    for (ScriptedCache cache : caches) {
      cache.close();
    }
    context.shutDownScheduler();
  }
}
