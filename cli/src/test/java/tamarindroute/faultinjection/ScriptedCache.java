package tamarindroute.faultinjection;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A simulated cache, parent or origin: it keeps copies, observes the age limits of attempts, and
 * injects faults into its listener and connections as drawn from the seed. The faults of single
 * responses are injected by {@link CacheResponder}.
 */
final class ScriptedCache implements AutoCloseable {

  /** The kind of a cache. */
  enum Kind {
    EDGE,
    PARENT,
    ORIGIN;

    /** The kind's name in the configuration and the feed. */
    String configuredName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** A stored copy of an object's part. */
  record Copy(int version, long datedMillis) {}

  private static final int BACKLOG = 64;
  private static final int BACKLOG_OF_DELAYED_ACCEPT = 1;

  /** An accept that took longer was waited for. */
  private static final long WAITED_FOR = 2 * Journal.NANOS_PER_MS;

  final String id;
  final Kind kind;
  final int port;
  final ScenarioContext context;

  /** The faults that this cache injects into responses. */
  final List<Fault> responseFaults;

  /** Whether it injects faults often. */
  final boolean faulty;

  /** It closes connections after this time without a request; 0 for never. */
  final int idleTimeoutMs;

  private final Map<String, Copy> copies = new ConcurrentHashMap<>();
  private final Set<ScriptedCacheConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;
  private volatile long acceptsFrom;

  ScriptedCache(ScenarioContext context, String id, Kind kind) throws IOException {
    this.context = context;
    this.id = id;
    this.kind = kind;
    SplittableRandom random = context.random("cache " + id);
    Set<Fault> ownFaults = EnumSet.noneOf(Fault.class);
    ownFaults.addAll(context.faults);
    ownFaults.retainAll(Fault.RESPONSE_FAULTS);
    responseFaults = new ArrayList<>(ownFaults);
    faulty = random.nextInt(3) > 0;
    boolean closesIdle = context.isActive(Fault.CLOSE_IDLE) && random.nextBoolean();
    idleTimeoutMs = closesIdle ? random.nextInt(40, 400) : 0;
    listen(0);
    port = server.getLocalPort();
    Threads.start("accept " + id, this::accept);
    if (kind != Kind.ORIGIN) {
      Threads.start("script " + id, () -> injectConnectionFaults(random.split()));
    }
  }

  private void listen(int listenPort) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(
        Sockets.loopback(listenPort),
        context.isActive(Fault.DELAYED_ACCEPT) ? BACKLOG_OF_DELAYED_ACCEPT : BACKLOG);
    server = listener;
  }

  private void accept() {
    long emptyAt = System.nanoTime();
    while (!context.finished) {
      try {
        long pause = acceptsFrom - System.nanoTime();
        if (pause > 0) {
          Threads.sleep(pause / Journal.NANOS_PER_MS);
        }
        long before = System.nanoTime();
        Socket socket = server.accept();
        long now = System.nanoTime();
        // A connection that was not waited for may have come at any time since one was.
        emptyAt = now - before > WAITED_FOR ? now : emptyAt;
        ScriptedCacheConnection connection = new ScriptedCacheConnection(this, socket, emptyAt);
        connections.add(connection);
        Threads.start("cache " + id, connection::serve);
      } catch (IOException e) {
        Threads.sleep(5);
      }
    }
  }

  private void injectConnectionFaults(SplittableRandom random) {
    while (!context.finished) {
      Threads.sleep(random.nextInt(200, 1200));
      List<Fault> active =
          context.faults.stream().filter(Fault.CONNECTION_FAULTS::contains).toList();
      if (active.isEmpty() || !faulty || context.finished) {
        continue;
      }
      Fault fault = active.get(random.nextInt(active.size()));
      int millis = random.nextInt(50, 1500);
      context
          .journal
          .event(EventKind.NOTE, id)
          .with(EventField.FAULT, fault)
          .with(EventField.DURATION_MS, millis)
          .add();
      inject(fault, millis);
    }
  }

  private void inject(Fault fault, int millis) {
    long until = System.nanoTime() + millis * Journal.NANOS_PER_MS;
    switch (fault) {
      case DELAYED_ACCEPT -> acceptsFrom = until;
      case PAUSE_READING -> connections.forEach(connection -> connection.pauseReading(until));
      case REFUSE -> stopListening(millis, false);
      case CRASH -> stopListening(millis, true);
      default -> {}
    }
  }

  private void stopListening(int millis, boolean crash) {
    try {
      server.close();
      if (crash) {
        copies.clear();
        resetConnections();
      }
      Threads.sleep(millis);
      listen(port);
    } catch (IOException e) {
      context.journal.note(id, EventField.ERROR, e.getMessage());
    }
  }

  private void resetConnections() {
    // A connection removes itself when it ends.
    List.copyOf(connections).forEach(ScriptedCacheConnection::reset);
  }

  void remove(ScriptedCacheConnection connection) {
    connections.remove(connection);
  }

  /**
   * The copy that answers an attempt: a stored one that is young enough, or a new one if the
   * attempt names a source to fill from; null for a miss.
   */
  Copy copyFor(ReceivedAttempt attempt) {
    String object = attempt.object();
    long now = System.currentTimeMillis();
    if (kind == Kind.ORIGIN || !attempt.isCacheable()) {
      return acceptedOrFilled(attempt, new Copy(context.version(object), now), now);
    }
    return acceptedOrFilled(attempt, copies.get(object + attempt.part()), now);
  }

  private Copy acceptedOrFilled(ReceivedAttempt attempt, Copy copy, long now) {
    long maxAge = attempt.maxAgeMillis();
    boolean tooOld = copy != null && maxAge > 0 && now - copy.datedMillis > maxAge;
    if (copy != null && !tooOld) {
      return copy;
    }
    if (attempt.parent() == null) {
      return null;
    }
    Copy filled = new Copy(context.version(attempt.object()), now);
    copies.put(attempt.object() + attempt.part(), filled);
    return filled;
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
