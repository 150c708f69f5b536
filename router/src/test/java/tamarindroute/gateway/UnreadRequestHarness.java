package tamarindroute.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.decision.Decision;

/**
 * Clients whose requests are sent whole and not read yet, since the event loop or MINA's thread is
 * held.
 */
abstract class UnreadRequestHarness extends PipelineHarness {

  /** All that the harness admits. */
  static final int MAX_CLIENTS = 8;

  static final int BUDGET_MILLIS = 3000;
  static final Duration WAIT = Duration.ofMillis(300);

  /** What each time limit is granted on sockets. */
  static final Duration SLACK = Duration.ofMillis(50);

  /** Four clients with four reads of 4 KB each take all that may wait for the event loop. */
  static final int FILLING_CLIENTS = 4;

  static final int READS_OF_A_CLIENT = 4;
  static final int READ_BYTES = 4 * 1024;

  final List<WireConnection> clients = new ArrayList<>();

  UnreadRequestHarness() throws IOException {}

  /** The first client has been idle for longest, and all have sent something. */
  void connectAll() throws Exception {
    start();
    for (int i = 0; i < MAX_CLIENTS; i++) {
      clients.add(connectClient());
    }
  }

  WireConnection firstClient() {
    return clients.get(0);
  }

  WireConnection lastClient() {
    return clients.get(MAX_CLIENTS - 1);
  }

  void willRejectAll(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      willDecide(request -> new Decision.Reject(null));
    }
  }

  /** Fills what may wait for the event loop, which is held, with the beginnings of requests. */
  void fillReads() throws Exception {
    for (int i = 1; i <= FILLING_CLIENTS; i++) {
      clients.get(i).sendBodyStart(READS_OF_A_CLIENT * READ_BYTES);
    }
    for (int i = 0; i < FILLING_CLIENTS * READS_OF_A_CLIENT; i++) {
      awaitHandOver();
    }
  }

  void awaitEventLoop() throws Exception {
    onEventLoop(() -> null);
    onEventLoop(() -> null);
  }
}
