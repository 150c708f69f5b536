package tamarindroute.faultinjection;

import java.io.IOException;
import java.util.SplittableRandom;

/** The faults that connections inject while the program shuts down, each on a thread of its own. */
final class ShutdownClients {

  private static final String PARTIAL_REQUEST_ID = "00000000000000fe";
  private static final int PARTIAL_REQUEST_TAG = 1_000_000;

  /** How long after SIGTERM responses stay unread. */
  private static final long UNREAD_MS = 1600;

  private final ScenarioContext context;
  private final RequestGenerator requests;

  ShutdownClients(ScenarioContext context, RequestGenerator requests) {
    this.context = context;
    this.requests = requests;
  }

  private interface Work {
    void run() throws IOException;
  }

  private void start(String purpose, ScriptedClientConnection connection, Work work) {
    Threads.start(
        purpose + " " + connection.label,
        () -> {
          try {
            work.run();
          } catch (IOException e) {
            context.journal.note(connection.label, EventField.ERROR, e.getMessage());
          }
        });
  }

  /** Waits for SIGTERM; false if the connection or the scenario ends before. */
  private boolean awaitTermination(ScriptedClientConnection connection) {
    while (context.terminatedAt == 0 && !connection.isEnded() && !context.finished) {
      Threads.sleep(2);
    }
    return context.terminatedAt != 0 && !connection.isEnded();
  }

  /**
   * Leaves large responses unread while the gateway shuts down, and writes once more then: if the
   * gateway reset the connection, the responses would be lost.
   */
  void leaveResponsesUnread(ScriptedClientConnection connection) {
    start("unread", connection, () -> leaveResponsesUnreadAtTermination(connection));
  }

  private void leaveResponsesUnreadAtTermination(ScriptedClientConnection connection)
      throws IOException {
    SplittableRandom random = context.random("unread " + connection.label);
    if (!awaitTermination(connection)) {
      return;
    }
    Threads.sleep(random.nextInt(0, 400));
    connection.pauseReading(context.terminatedAt + UNREAD_MS * Journal.NANOS_PER_MS);
    connection.send(requests.nextLarge(random));
    connection.send(requests.nextLarge(random));
    // The gateway closes its listener 0.75 s after SIGTERM and reads what arrives up to 0.2 s
    // later. Clients that write later have seen the gateway's end of the connection before.
    long writesAt = context.terminatedAt + random.nextInt(500, 900) * Journal.NANOS_PER_MS;
    Threads.sleep((writesAt - System.nanoTime()) / Journal.NANOS_PER_MS);
    connection.send(requests.next(random));
    connection.awaitResponses();
  }

  /** Sends half a request after SIGTERM; the gateway has to end all the same. */
  void sendPartialRequest(ScriptedClientConnection connection) {
    byte[] frame = ClientRequest.frameToTruncate(PARTIAL_REQUEST_TAG, PARTIAL_REQUEST_ID);
    start(
        "half",
        connection,
        () -> {
          awaitTermination(connection);
          connection.sendPartial(frame, frame.length / 2);
        });
  }

  /** Stays idle, and sends a request some time after SIGTERM. */
  void sendLateRequest(ScriptedClientConnection connection) {
    Threads.start("rest " + connection.label, () -> sendLate(connection));
  }

  private void sendLate(ScriptedClientConnection connection) {
    SplittableRandom random = context.random("rest " + connection.label);
    long sendsAt = 0;
    while (!connection.isEnded() && !context.finished) {
      Threads.sleep(2);
      if (context.terminatedAt != 0 && sendsAt == 0) {
        sendsAt = context.terminatedAt + random.nextInt(0, 1100) * Journal.NANOS_PER_MS;
      }
      if (sendsAt != 0 && System.nanoTime() > sendsAt) {
        sendAndAwait(connection, random);
        return;
      }
    }
  }

  private void sendAndAwait(ScriptedClientConnection connection, SplittableRandom random) {
    try {
      connection.send(requests.next(random));
      connection.awaitResponses();
    } catch (IOException e) {
      // The gateway has ended the connection, as it may.
    }
  }
}
