package tamarindroute.faultinjection;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import tamarindroute.example.ToyServer;

/** Chooses and writes the responses of one connection of a scripted cache, faulty ones included. */
final class CacheResponder {

  private static final byte[] GARBAGE = "HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8);
  private static final int ENDLESS_BYTES = 40;
  private static final int DRIP_INTERVAL_MS = 60;
  private static final int MAX_BYTES_BEFORE_DRIP = 60;
  private static final String UNKNOWN_ID = "00000000deadbeef";
  private static final String WRONG_DIGEST = "0123456789abcdef";
  private static final String[] DUPLICATED_STATUSES = {"NOENT", "AGAIN", "EIO", "ACK"};

  private final ScriptedCache cache;
  private final ScenarioContext context;
  private final ScriptedCacheConnection connection;

  CacheResponder(ScriptedCache cache, ScriptedCacheConnection connection) {
    this.cache = cache;
    this.context = cache.context;
    this.connection = connection;
  }

  /** Draws a fault and a delay for an attempt, and responds, at once or later. */
  void respond(ReceivedAttempt attempt, Journal.Entry received) throws IOException {
    SplittableRandom random = context.random(cache.id + attempt.requestId() + attempt.parent());
    Fault fault = randomFault(random);
    attempt.addTo(received, fault);
    int delay = randomDelay(attempt, fault, random);
    if (delay == 0) {
      respond(attempt, fault, random);
    } else {
      later(delay, () -> respond(attempt, fault, random));
    }
  }

  /** A response that may fail because the gateway has ended the connection. */
  private interface Write {
    void run() throws IOException;
  }

  private void later(long millis, Write write) {
    context.schedule(
        millis,
        () -> {
          try {
            write.run();
          } catch (IOException e) {
            connection.endedByGateway();
          }
        });
  }

  /** The fault to inject; null for none. */
  private Fault randomFault(SplittableRandom random) {
    boolean injects =
        !cache.responseFaults.isEmpty()
            && (cache.faulty || random.nextInt(6) == 0)
            && random.nextDouble() < context.faultProbability;
    return injects ? cache.responseFaults.get(random.nextInt(cache.responseFaults.size())) : null;
  }

  private static int randomDelay(ReceivedAttempt attempt, Fault fault, SplittableRandom random) {
    int usual = random.nextInt(10) == 0 ? random.nextInt(0, 400) : random.nextInt(0, 12);
    if (fault == Fault.LATE) {
      return (int) attempt.remainingMillis() + random.nextInt(-15, 120);
    }
    if (fault == Fault.RESET_LATER) {
      return random.nextInt(30, 1500);
    }
    return usual;
  }

  private void respond(ReceivedAttempt attempt, Fault fault, SplittableRandom random)
      throws IOException {
    if (fault == null) {
      serve(attempt, false);
      return;
    }
    byte[] complete = completeFrame(attempt);
    int partial = random.nextInt(1, complete.length);
    switch (fault) {
      case MISS, OVER_CAPACITY, ERROR, STALE ->
          write(attempt, CacheResponse.ofStatus(status(fault)), false);
      case SILENT -> {}
      case LATE -> serve(attempt, false);
      case DUPLICATE_RESPONSE -> writeTwice(attempt, random);
      case UNKNOWN_ID -> {
        writeForUnknownId(random);
        serve(attempt, false);
      }
      case PARTIAL_THEN_HANG, PARTIAL_THEN_CLOSE, PARTIAL_THEN_RESET -> {
        connection.writeLast(complete, partial);
        endAfterPartial(fault, random);
      }
      case RESET, RESET_LATER -> connection.reset();
      case CLOSE -> connection.close();
      case GARBAGE -> connection.writeLast(GARBAGE, GARBAGE.length);
      case ENDLESS -> writeEndlessLength(attempt, random);
      case DRIP -> startDrip(complete, Math.min(partial, MAX_BYTES_BEFORE_DRIP));
      case MALFORMED_FIELDS -> writeMalformedFields(attempt);
      case NOT_MODIFIED_WRONG_DIGEST ->
          write(
              attempt,
              CacheResponse.notModified("why=hit,digest=" + WRONG_DIGEST, WRONG_DIGEST, 0),
              false);
      case NOT_MODIFIED_NO_DIGEST ->
          write(attempt, CacheResponse.notModified("why=hit", null, 0), false);
      default -> throw new IllegalStateException(fault + " is no fault of a response");
    }
  }

  private static String status(Fault fault) {
    return switch (fault) {
      case MISS -> "NOENT";
      case OVER_CAPACITY -> "AGAIN";
      case ERROR -> "EIO";
      case STALE -> "STALE";
      default -> throw new IllegalArgumentException(fault + " has no status");
    };
  }

  private void endAfterPartial(Fault fault, SplittableRandom random) {
    if (fault == Fault.PARTIAL_THEN_CLOSE) {
      connection.close();
    } else if (fault == Fault.PARTIAL_THEN_RESET) {
      Threads.sleep(random.nextInt(3) * 5L);
      connection.reset();
    }
  }

  private byte[] completeFrame(ReceivedAttempt attempt) {
    return ToyServer.frame(
        attempt.requestId(),
        "ACK",
        "why=hit,dated=" + System.currentTimeMillis() + ",digest=" + currentDigest(attempt),
        currentBody(attempt));
  }

  private String currentDigest(ReceivedAttempt attempt) {
    return TestObjects.digest(attempt.object(), attempt.part(), context.version(attempt.object()));
  }

  private byte[] currentBody(ReceivedAttempt attempt) {
    return TestObjects.content(
        currentDigest(attempt), TestObjects.length(attempt.object(), attempt.part()));
  }

  private void writeForUnknownId(SplittableRandom random) throws IOException {
    connection.write(
        ToyServer.frame(
            UNKNOWN_ID, "ACK", "why=hit,digest=" + UNKNOWN_ID, new byte[random.nextInt(3000)]));
  }

  private void writeEndlessLength(ReceivedAttempt attempt, SplittableRandom random)
      throws IOException {
    String length = random.nextBoolean() ? "99999999999\r\n" : "1" + "0".repeat(3000);
    String frame = "*4\r\n$16\r\n" + attempt.requestId() + "\r\n$3\r\nACK\r\n$1\r\n-\r\n$" + length;
    connection.writeLast(frame.getBytes(StandardCharsets.UTF_8), ENDLESS_BYTES);
  }

  private void writeMalformedFields(ReceivedAttempt attempt) throws IOException {
    if (connection.isOutputEnded() || !connection.removeOpen(attempt)) {
      return;
    }
    context
        .journal
        .event(EventKind.RESPONSE_SENT, cache.id)
        .request(attempt.requestId())
        .with(EventField.ATTEMPT, attempt.number())
        .with(EventField.STATUS, "malformed")
        .add();
    connection.write(ToyServer.frame(attempt.requestId(), "ACK", "why,,=;x", currentBody(attempt)));
  }

  private void startDrip(byte[] frame, int first) throws IOException {
    connection.writeLast(frame, first);
    drip(frame, first);
  }

  /** Writes a byte at a time, except for the last. */
  private void drip(byte[] frame, int next) {
    if (connection.isEnded() || next >= frame.length - 1) {
      return;
    }
    later(
        DRIP_INTERVAL_MS,
        () -> {
          connection.writeByte(frame, next);
          drip(frame, next + 1);
        });
  }

  private void writeTwice(ReceivedAttempt attempt, SplittableRandom random) throws IOException {
    String status = DUPLICATED_STATUSES[random.nextInt(DUPLICATED_STATUSES.length)];
    if (status.equals("ACK")) {
      serve(attempt, true);
    } else {
      write(attempt, CacheResponse.ofStatus(status), true);
    }
  }

  /** Responds without a fault: from a copy, by a fill, or with a miss. */
  private void serve(ReceivedAttempt attempt, boolean twice) throws IOException {
    ScriptedCache.Copy copy = cache.copyFor(attempt);
    if (copy == null) {
      write(attempt, CacheResponse.ofStatus("NOENT"), twice);
      return;
    }
    String object = attempt.object();
    int part = attempt.part();
    long dated = copy.datedMillis();
    String digest = TestObjects.digest(object, part, copy.version());
    String fields = "why=hit,dated=" + dated + ",digest=" + digest + ",rep=util:0.2";
    if (digest.equals(attempt.heldDigest())) {
      write(attempt, CacheResponse.notModified(fields, digest, dated), twice);
    } else {
      int bodyBytes = TestObjects.length(object, part);
      write(attempt, new CacheResponse("ACK", fields, digest, bodyBytes, dated), twice);
    }
  }

  private void write(ReceivedAttempt attempt, CacheResponse response, boolean twice)
      throws IOException {
    byte[] frame = response.toFrame(attempt.requestId());
    if (connection.isOutputEnded() || connection.isEnded()) {
      return;
    }
    boolean answersCancelled = context.seed % 2 != 0;
    if (!connection.removeOpen(attempt) && !answersCancelled) {
      return;
    }
    // Before the write, so that what the gateway does upon it does not seem to come first.
    context
        .journal
        .event(EventKind.RESPONSE_SENT, cache.id)
        .request(attempt.requestId())
        .with(EventField.ATTEMPT, attempt.number())
        .with(EventField.STATUS, response.status())
        .with(EventField.DIGEST, response.digest())
        .with(EventField.DATED_MS, response.datedMillis() == 0 ? null : response.datedMillis())
        .add();
    connection.write(frame);
    if (twice) {
      later(Math.floorMod(attempt.number(), 4) * 4L, () -> writeAgain(attempt, response, frame));
    }
  }

  private void writeAgain(ReceivedAttempt attempt, CacheResponse response, byte[] frame)
      throws IOException {
    context
        .journal
        .event(EventKind.NOTE, cache.id)
        .request(attempt.requestId())
        .with(EventField.FAULT, Fault.DUPLICATE_RESPONSE)
        .with(EventField.STATUS, response.status())
        .with(EventField.ATTEMPT, attempt.number())
        .add();
    connection.write(frame);
  }
}
