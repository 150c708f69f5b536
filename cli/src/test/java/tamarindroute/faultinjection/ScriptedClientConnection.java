package tamarindroute.faultinjection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import tamarindroute.example.ToyServer;

/** A scripted client's connection to the gateway; a thread of its own reads the responses. */
final class ScriptedClientConnection {

  /** A request without a response, and when it was sent. */
  private record OpenRequest(ClientRequest request, long sentAt) {}

  /** How a client gives up its connection. */
  enum Departure {
    /** Closes the connection in order. */
    CLOSED,
    /** Resets the connection. */
    RESET,
    /** Wrote something that is no request, and leaves the connection open. */
    GARBAGE
  }

  private static final int CONNECT_TIMEOUT_MS = 3000;
  private static final int SLOW_READER_BUFFER_BYTES = 4096;

  /** How long after the last deadline responses are awaited. */
  private static final long AWAIT_AFTER_DEADLINE_MS = 1500;

  /** Bound, by the id's hash, of the pause inside a request that is written in two parts. */
  private static final int MAX_WRITE_PAUSE_MS = 60;

  final String label;
  private final ScenarioContext context;

  /** Digests of the copies that responses brought, by object and part. */
  private final Map<String, String> copyVersions;

  private final boolean slowReader;
  private final Socket socket = new Socket();
  private final OutputStream out;
  private final Map<String, OpenRequest> open = new ConcurrentHashMap<>();
  private final Map<String, OpenRequest> completed = new ConcurrentHashMap<>();
  private volatile boolean departed;
  private volatile boolean ended;
  private volatile long readsFrom;
  private int lastTag;

  ScriptedClientConnection(
      ScenarioContext context,
      String label,
      InetSocketAddress gateway,
      Map<String, String> copyVersions,
      boolean slowReader)
      throws IOException {
    this.context = context;
    this.label = label;
    this.copyVersions = copyVersions;
    this.slowReader = slowReader;
    if (slowReader) {
      socket.setReceiveBufferSize(SLOW_READER_BUFFER_BYTES);
    }
    socket.setTcpNoDelay(true);
    socket.connect(gateway, CONNECT_TIMEOUT_MS);
    out = socket.getOutputStream();
    Threads.start(label, this::read);
  }

  /** Whether the gateway has ended the connection. */
  boolean isEnded() {
    return ended;
  }

  int openRequests() {
    return open.size();
  }

  /** Stops reading until a time by {@link System#nanoTime}. */
  void pauseReading(long until) {
    readsFrom = until;
  }

  private void read() {
    try {
      FrameReader reader = new FrameReader(socket, System.nanoTime());
      while (true) {
        long pause = readsFrom - System.nanoTime();
        if (pause > 0) {
          Threads.sleep(pause / Journal.NANOS_PER_MS);
        }
        receive(reader.next(), reader.earliestArrival());
      }
    } catch (IOException e) {
      endedByGateway(String.valueOf(e.getMessage()));
    }
  }

  private void receive(List<byte[]> response, long earliestArrival) {
    String tag = FrameReader.text(response.get(0));
    OpenRequest pending = open.remove(tag);
    String status = response.size() > 1 ? FrameReader.text(response.get(1)) : "";
    if (status.equals("GREEN") || status.equals("RED")) {
      return;
    }
    OpenRequest known = pending == null ? completed.get(tag) : pending;
    if (known == null) {
      context
          .journal
          .event(EventKind.RESPONSE_RECEIVED, label)
          .with(EventField.STATUS, status)
          .with(EventField.UNKNOWN_TAG, tag)
          .add();
      return;
    }
    completed.put(tag, known);
    String fields = response.size() > 2 ? FrameReader.text(response.get(2)) : "";
    byte[] body = response.size() > 3 ? response.get(3) : new byte[0];
    receive(known.request, status, FrameReader.parseFields(fields), body, earliestArrival);
  }

  private void receive(
      ClientRequest request,
      String status,
      Map<String, String> fields,
      byte[] body,
      long earliestArrival) {
    String version = fields.get("ver");
    String notModified = fields.get("unchanged");
    boolean valid = !status.equals("ACK") || notModified != null || isValid(request, version, body);
    context
        .journal
        .event(EventKind.RESPONSE_RECEIVED, label)
        .request(request.id())
        .between(earliestArrival, System.nanoTime())
        .with(EventField.STATUS, status)
        .with(EventField.VERSION, version)
        .with(EventField.NOT_MODIFIED, notModified)
        .with(EventField.RETRY_AFTER, fields.get("backoff"))
        .with(EventField.LENGTH, body.length)
        .with(EventField.CONTENT_VALID, valid)
        .add();
    if (status.equals("ACK") && version != null) {
      copyVersions.put(request.object() + request.part(), version);
    }
  }

  /** Whether a body belongs to any version so far; its age is checked elsewhere. */
  private boolean isValid(ClientRequest request, String receivedVersion, byte[] body) {
    int length = TestObjects.length(request.object(), request.part());
    for (int version = 0; version <= context.version(request.object()); version++) {
      String digest = TestObjects.digest(request.object(), request.part(), version);
      if ((receivedVersion == null || receivedVersion.equals(digest))
          && Arrays.equals(body, TestObjects.content(digest, length))) {
        return true;
      }
    }
    return false;
  }

  private void endedByGateway(String how) {
    ended = true;
    if (departed) {
      return;
    }
    context
        .journal
        .event(EventKind.CONNECTION_ENDED, label)
        .with(EventField.HOW, how)
        .with(EventField.OPEN_REQUESTS, open.size())
        .add();
    open.values().forEach(pending -> journal(EventKind.CONNECTION_ENDED, pending, how));
  }

  private void journal(EventKind kind, OpenRequest pending, String how) {
    context
        .journal
        .event(kind, label)
        .request(pending.request.id())
        .with(EventField.HOW, how)
        .add();
  }

  /** Sends a request and returns its tag. */
  String send(ClientRequest request) throws IOException {
    lastTag++;
    String tag = String.valueOf(lastTag);
    byte[] frame = request.toFrame(tag);
    long startedAt = System.nanoTime();
    open.put(tag, new OpenRequest(request, startedAt));
    try {
      write(request, frame);
    } catch (IOException e) {
      // It was not written to a working connection, so the gateway has not taken it.
      open.remove(tag);
      throw e;
    }
    journalSent(request, startedAt);
    return tag;
  }

  /**
   * Writes a frame, some in two parts, so that the gateway's close of the connection may come
   * between them.
   */
  private void write(ClientRequest request, byte[] frame) throws IOException {
    int hash = request.id().hashCode();
    boolean inTwoParts = Math.floorMod(hash, 4) == 0 && context.isActive(Fault.PARTIAL_REQUEST);
    int first = inTwoParts ? Math.floorMod(hash, frame.length) : 0;
    if (first > 0) {
      out.write(frame, 0, first);
      Threads.sleep(Math.floorMod(hash, MAX_WRITE_PAUSE_MS));
    }
    out.write(frame, first, frame.length - first);
  }

  private void journalSent(ClientRequest request, long startedAt) {
    context
        .journal
        .event(EventKind.REQUEST_SENT, label)
        .request(request.id())
        .between(startedAt, System.nanoTime())
        .with(EventField.REQUEST_CLASS, request.requestClass().configuredName)
        .with(EventField.BUDGET_MS, request.budgetMillis())
        .with(EventField.OBJECT, request.object())
        .with(EventField.PART, request.part())
        .with(EventField.VERSION, request.heldVersion())
        .with(EventField.SLOW_READER, slowReader ? true : null)
        .add();
  }

  /** Writes the first bytes of a request that never becomes complete. */
  void sendPartial(byte[] frame, int length) throws IOException {
    out.write(frame, 0, length);
  }

  /** Reserves a tag. */
  int nextTag() {
    lastTag++;
    return lastTag;
  }

  void sendGarbage(byte[] bytes) throws IOException {
    out.write(bytes);
  }

  /** Cancels the request of this tag, if it is still open. */
  void cancel(String tag) throws IOException {
    OpenRequest pending = open.remove(tag);
    if (pending != null) {
      completed.put(tag, pending);
      out.write(ToyServer.frame("RPC.CANCEL", tag));
      context.journal.event(EventKind.REQUEST_CANCELLED, label).request(pending.request.id()).add();
    }
  }

  /** Gives up the connection: from here on no response is expected. */
  void depart(Departure how) {
    departed = true;
    switch (how) {
      case RESET -> Sockets.reset(socket);
      case CLOSED -> Sockets.close(socket);
      case GARBAGE -> {}
    }
    open.values().forEach(pending -> journal(EventKind.CLIENT_LEFT, pending, how.toString()));
    context.journal.event(EventKind.CLIENT_LEFT, label).with(EventField.HOW, how).add();
  }

  /** Waits until no request is open, or until well after the last deadline. */
  void awaitResponses() {
    long deadline =
        open.values().stream()
            .mapToLong(
                pending ->
                    pending.sentAt
                        + (pending.request.budgetMillis() + AWAIT_AFTER_DEADLINE_MS)
                            * Journal.NANOS_PER_MS)
            .max()
            .orElse(0);
    while (!open.isEmpty() && !ended && System.nanoTime() < deadline) {
      Threads.sleep(3);
    }
  }
}
