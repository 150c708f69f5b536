package tamarindroute.rig.play;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;

/** The clients' connection to one gateway; made anew with the next request when it has ended. */
final class GatewayConnection implements Closeable {

  private static final String SOURCE = "client";

  /** Open requests that the protocol allows on a connection. */
  private static final int MAX_OPEN = 32;

  /** Length of the toy caches' answers. */
  private static final int OBJECT_BYTES = 2000;

  private static final int TAG = 0;
  private static final int KIND = 1;
  private static final int CONTENT = 3;

  private final Journal journal;
  private final String gateway;
  private final InetSocketAddress address;
  private final Map<String, ClientRequest> openRequests = new ConcurrentHashMap<>();

  /** Null while there is no connection. */
  private volatile ToyServer.Client client;

  private int lastTag;

  GatewayConnection(Journal journal, String gateway, InetSocketAddress address) {
    this.journal = journal;
    this.gateway = gateway;
    this.address = address;
  }

  boolean hasOpenRequests() {
    return !openRequests.isEmpty();
  }

  private void record(String text) {
    journal.add(SOURCE, text);
  }

  void send(ClientRequest request) {
    try {
      if (client == null) {
        connect();
      }
      if (openRequests.size() >= MAX_OPEN) {
        record("skipped gateway=" + gateway);
        return;
      }
      lastTag++;
      String tag = String.valueOf(lastTag);
      openRequests.put(tag, request);
      record(
          "sent rid=%s gateway=%s lane=%s budget=%d"
              .formatted(
                  request.id(), gateway, request.requestClass(), ClientRequest.BUDGET_MILLIS));
      client.call(tag, request.requestClass(), request.fields(), request.body());
    } catch (IOException e) {
      if (client == null) {
        record("connect-failed gateway=" + gateway);
      }
    }
  }

  /** Answers are awaited for as long as the run lasts: checkers judge whether they are late. */
  private void connect() throws IOException {
    ToyServer.Client connected = new ToyServer.Client(address);
    client = connected;
    connected.socket.setSoTimeout(0);
    Thread reader = new Thread(() -> readAnswers(connected), "answers of " + gateway);
    reader.setDaemon(true);
    reader.start();
  }

  private void readAnswers(ToyServer.Client connected) {
    try {
      while (true) {
        onAnswer(connected.readResponse());
      }
    } catch (SocketTimeoutException e) {
      record("read-timeout gateway=" + gateway);
    } catch (IOException | RuntimeException e) {
      openRequests
          .values()
          .forEach(
              request -> record("connection-lost rid=" + request.id() + " gateway=" + gateway));
      openRequests.clear();
      client = null;
    }
  }

  private void onAnswer(List<byte[]> answer) {
    String kind = new String(answer.get(KIND), StandardCharsets.UTF_8);
    ClientRequest request =
        openRequests.remove(new String(answer.get(TAG), StandardCharsets.UTF_8));
    boolean intact = !kind.equals("ACK") || isContentOf(request, answer);
    // Without an open request this is a second answer, or a stray one.
    String id = request == null ? null : request.id();
    record("answer rid=%s gateway=%s kind=%s intact=%s".formatted(id, gateway, kind, intact));
  }

  private static boolean isContentOf(ClientRequest request, List<byte[]> answer) {
    return request != null
        && Arrays.equals(answer.get(CONTENT), ToyServer.contentOf(request.object(), OBJECT_BYTES));
  }

  @Override
  public void close() throws IOException {
    ToyServer.Client connected = client;
    if (connected != null) {
      connected.close();
    }
  }
}
