package tamarindroute.faultinjection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import tamarindroute.example.ToyServer;
import tamarindroute.faultinjection.FrameReader.UnreadableFrameException;

/**
 * A gateway's connection at a scripted cache: reads commands and journals attempts, cancels and the
 * connection's end. Writers may be on any thread.
 */
final class ScriptedCacheConnection {

  private static final String ENDED_BY_GATEWAY = "gateway";

  private final ScriptedCache cache;
  private final ScenarioContext context;
  private final Socket socket;
  private final FrameReader reader;
  private final OutputStream out;
  private final CacheResponder responder;

  /** The attempts without a response, by request id. */
  private final Map<String, ReceivedAttempt> open = new ConcurrentHashMap<>();

  private volatile long readsFrom;

  /** Since when nothing was read because the reading was paused; 0 if it is not. */
  private volatile long pausedSince;

  /** Whether nothing more is written. */
  private volatile boolean outputEnded;

  private volatile long lastUsedAt = System.nanoTime();
  private volatile boolean ended;

  /**
   * @param since the earliest time at which the connection can have begun
   */
  ScriptedCacheConnection(ScriptedCache cache, Socket socket, long since) throws IOException {
    this.cache = cache;
    this.context = cache.context;
    this.socket = socket;
    socket.setTcpNoDelay(true);
    reader = new FrameReader(socket, since);
    out = socket.getOutputStream();
    responder = new CacheResponder(cache, this);
    if (cache.idleTimeoutMs > 0) {
      context.schedule(cache.idleTimeoutMs, this::closeIfIdle);
    }
  }

  private void closeIfIdle() {
    long left = cache.idleTimeoutMs - (System.nanoTime() - lastUsedAt) / Journal.NANOS_PER_MS;
    if (left <= 0 && open.isEmpty()) {
      close();
    } else if (!ended) {
      context.schedule(Math.max(5, left), this::closeIfIdle);
    }
  }

  /** Reads commands until the connection ends. */
  void serve() {
    try {
      while (true) {
        List<String> command = reader.next().stream().map(FrameReader::text).toList();
        long readAt = System.nanoTime();
        lastUsedAt = readAt;
        pausedSince = 0;
        handle(command, readAt);
        pauseIfDue();
      }
    } catch (UnreadableFrameException e) {
      context.journal.note(cache.id, EventField.ERROR, e.getMessage());
      ended(ENDED_BY_GATEWAY);
    } catch (IOException e) {
      ended(ENDED_BY_GATEWAY);
    }
  }

  private void handle(List<String> command, long readAt) throws IOException {
    switch (command.get(0)) {
      case "NOOP", "INFO" -> write(ToyServer.frame(command.get(1), "READY", "-", ""));
      case "QUIT" -> cancel(command.get(1), readAt);
      case "ASK" -> receive(command.get(1), FrameReader.parseFields(command.get(2)), readAt);
      default -> throw new UnreadableFrameException("unreadable: " + command.get(0));
    }
  }

  private void cancel(String requestId, long readAt) {
    ReceivedAttempt attempt = open.remove(requestId);
    context
        .journal
        .event(EventKind.CANCEL_RECEIVED, cache.id)
        .request(requestId)
        .between(reader.earliestArrival(), readAt)
        .with(EventField.ATTEMPT, attempt == null ? null : attempt.number())
        .add();
  }

  private void receive(String requestId, Map<String, String> fields, long readAt)
      throws IOException {
    ReceivedAttempt attempt = new ReceivedAttempt(context.nextAttemptNumber(), requestId, fields);
    open.put(requestId, attempt);
    responder.respond(
        attempt,
        context
            .journal
            .event(EventKind.ATTEMPT_RECEIVED, cache.id)
            .between(reader.earliestArrival(), readAt));
  }

  private void pauseIfDue() {
    long pause = readsFrom - System.nanoTime();
    if (pause > 0) {
      pausedSince = System.nanoTime();
      reader.paused(pausedSince);
      Threads.sleep(pause / Journal.NANOS_PER_MS);
    }
  }

  /** Stops reading until a time by {@link System#nanoTime}. */
  void pauseReading(long until) {
    readsFrom = until;
  }

  /** Ends the connection in order. */
  void close() {
    ended("closed");
    Sockets.close(socket);
  }

  /** Ends the connection by a TCP reset. */
  void reset() {
    ended("reset");
    Sockets.reset(socket);
  }

  /** Ends the connection after the gateway ended it. */
  void endedByGateway() {
    ended(ENDED_BY_GATEWAY);
  }

  private void ended(String how) {
    ended = true;
    cache.remove(this);
    for (ReceivedAttempt attempt : open.values()) {
      if (removeOpen(attempt)) {
        long now = System.nanoTime();
        context
            .journal
            .event(EventKind.ATTEMPT_CONNECTION_LOST, cache.id)
            .request(attempt.requestId())
            .between(earliestEnd(how, now), now)
            .with(EventField.ATTEMPT, attempt.number())
            .with(EventField.HOW, how)
            .add();
      }
    }
  }

  private long earliestEnd(String how, long now) {
    if (pausedSince != 0) {
      // Nothing is known of what arrived during the pause.
      return pausedSince;
    }
    long arrival = reader.earliestArrival();
    return how.equals(ENDED_BY_GATEWAY) && arrival > 0 ? Math.min(arrival, now) : now;
  }

  boolean isEnded() {
    return ended;
  }

  boolean isOutputEnded() {
    return outputEnded;
  }

  /** Ends an attempt; false if it has ended before. */
  boolean removeOpen(ReceivedAttempt attempt) {
    return open.remove(attempt.requestId(), attempt);
  }

  /** Writes a frame, unless the output has ended. */
  synchronized void write(byte[] bytes) throws IOException {
    if (!outputEnded) {
      out.write(bytes);
    }
  }

  /** Writes the first bytes of a frame and ends the output. */
  synchronized void writeLast(byte[] bytes, int length) throws IOException {
    if (!outputEnded) {
      outputEnded = true;
      out.write(bytes, 0, length);
    }
  }

  /** Writes one more byte after the output has ended. */
  void writeByte(byte[] bytes, int index) throws IOException {
    out.write(bytes, index, 1);
  }
}
