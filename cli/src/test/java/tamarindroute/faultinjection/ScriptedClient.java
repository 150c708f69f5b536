package tamarindroute.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tamarindroute.faultinjection.ScriptedClientConnection.Departure;

/**
 * A simulated client that opens one connection after another, sends requests, and injects the
 * faults of clients as drawn from the seed. What its connections do during the program's shutdown
 * is left to {@link ShutdownClients}.
 */
final class ScriptedClient {

  private static final byte[] GARBAGE = "GET / HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
  private static final String PARTIAL_REQUEST_ID = "00000000000000ff";
  private static final int MAX_OPEN_REQUESTS = 30;

  private final ScenarioContext context;
  private final String name;
  private final InetSocketAddress gateway;
  private final Map<String, String> copyVersions;
  private final SplittableRandom random;
  private final RequestGenerator requests;
  private final ShutdownClients shutdownClients;
  private volatile boolean ending;

  /**
   * @param copyVersions digests of the copies that responses brought, shared by all clients
   */
  ScriptedClient(
      ScenarioContext context,
      int number,
      InetSocketAddress gateway,
      Map<String, String> copyVersions) {
    this.context = context;
    this.name = "client" + number;
    this.gateway = gateway;
    this.copyVersions = copyVersions;
    random = context.random(name);
    requests = new RequestGenerator(copyVersions);
    shutdownClients = new ShutdownClients(context, requests);
  }

  /** Runs until {@link #end}; then waits for the responses to the open requests. */
  void run() {
    for (int number = 1; !ending; number++) {
      try {
        useConnection(number);
      } catch (IOException e) {
        Threads.sleep(10);
      }
      Threads.sleep(random.nextInt(0, 60));
    }
  }

  void end() {
    ending = true;
  }

  private ScriptedClientConnection connect(int number, boolean slowReader) throws IOException {
    return new ScriptedClientConnection(
        context, name + "/" + number, gateway, copyVersions, slowReader);
  }

  /** The fault that the next connection injects; null for none. */
  private Fault randomFault() {
    List<Fault> active = context.faults.stream().filter(Fault.CLIENT_FAULTS::contains).toList();
    return active.isEmpty() || random.nextInt(2) == 0
        ? null
        : active.get(random.nextInt(active.size()));
  }

  private void useConnection(int number) throws IOException {
    if (context.isActive(Fault.TERM_UNREAD_RESPONSE) && random.nextInt(8) == 0) {
      shutdownClients.leaveResponsesUnread(connect(number, true));
      return;
    }
    Fault fault = randomFault();
    ScriptedClientConnection connection = connect(number, fault == Fault.SLOW_READER);
    int rounds = random.nextInt(1, 4);
    for (int round = 0; round < rounds && !connection.isEnded() && !ending; round++) {
      List<String> tags = sendRequests(connection, fault);
      if (fault != null && injectFault(connection, fault, tags)) {
        return;
      }
      connection.awaitResponses();
      Threads.sleep(random.nextInt(0, 150));
    }
    finish(connection);
  }

  private List<String> sendRequests(ScriptedClientConnection connection, Fault fault)
      throws IOException {
    boolean burst = fault == Fault.FLOOD || fault == Fault.BURST_CANCEL;
    int count = burst ? random.nextInt(8, 32) : random.nextInt(1, 4);
    if (fault == Fault.SLOW_READER) {
      connection.pauseReading(System.nanoTime() + random.nextInt(100, 700) * Journal.NANOS_PER_MS);
    }
    List<String> tags = new ArrayList<>();
    for (int i = 0; i < count && connection.openRequests() < MAX_OPEN_REQUESTS; i++) {
      tags.add(connection.send(requests.next(random)));
      if (!burst) {
        Threads.sleep(random.nextInt(0, 12));
      }
    }
    return tags;
  }

  /** Injects a fault; true if it ended the connection. */
  private boolean injectFault(ScriptedClientConnection connection, Fault fault, List<String> tags)
      throws IOException {
    int maxPause = random.nextInt(3) == 0 ? 900 : 120;
    switch (fault) {
      case CANCEL -> cancelSome(connection, tags, maxPause);
      case BURST_CANCEL -> cancelAll(connection, tags, maxPause);
      case DISCONNECT -> depart(connection, Departure.CLOSED, maxPause);
      case DISCONNECT_RESET -> depart(connection, Departure.RESET, maxPause);
      case CLIENT_GARBAGE -> sendGarbage(connection, maxPause);
      case PARTIAL_REQUEST -> sendPartialRequest(connection, maxPause);
      default -> {}
    }
    return switch (fault) {
      case DISCONNECT, DISCONNECT_RESET, CLIENT_GARBAGE, PARTIAL_REQUEST -> true;
      default -> false;
    };
  }

  private void cancelSome(ScriptedClientConnection connection, List<String> tags, int maxPause)
      throws IOException {
    for (String tag : tags) {
      Threads.sleep(random.nextInt(0, maxPause));
      if (random.nextInt(3) > 0) {
        connection.cancel(tag);
      }
    }
  }

  private void cancelAll(ScriptedClientConnection connection, List<String> tags, int maxPause)
      throws IOException {
    Threads.sleep(random.nextInt(0, maxPause));
    for (String tag : tags) {
      connection.cancel(tag);
    }
  }

  private void depart(ScriptedClientConnection connection, Departure how, int maxPause) {
    Threads.sleep(random.nextInt(0, maxPause));
    connection.depart(how);
  }

  private void sendGarbage(ScriptedClientConnection connection, int maxPause) throws IOException {
    Threads.sleep(random.nextInt(0, maxPause));
    connection.sendGarbage(GARBAGE);
    connection.depart(Departure.GARBAGE);
    Threads.sleep(50);
    connection.depart(Departure.CLOSED);
  }

  private void sendPartialRequest(ScriptedClientConnection connection, int maxPause)
      throws IOException {
    byte[] frame = ClientRequest.frameToTruncate(connection.nextTag(), PARTIAL_REQUEST_ID);
    connection.sendPartial(frame, random.nextInt(1, frame.length));
    Threads.sleep(random.nextInt(0, maxPause));
    boolean closes = context.isActive(Fault.DISCONNECT) && random.nextBoolean();
    connection.depart(closes ? Departure.CLOSED : Departure.RESET);
  }

  /** Closes the connection, or leaves it open until the program's shutdown. */
  private void finish(ScriptedClientConnection connection) {
    if (context.isActive(Fault.TERM_PARTIAL_REQUEST) && random.nextInt(8) == 0) {
      shutdownClients.sendPartialRequest(connection);
    } else if (random.nextInt(3) > 0 || !context.isActive(Fault.TERM_LATE_BYTES)) {
      connection.awaitResponses();
      connection.depart(Departure.CLOSED);
    } else {
      shutdownClients.sendLateRequest(connection);
    }
  }
}
