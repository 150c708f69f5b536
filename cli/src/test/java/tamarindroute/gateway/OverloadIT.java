package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/** A gateway of the least memory under as many clients and requests as the platform allows. */
@Timeout(60)
class OverloadIT extends GatewayHarness {

  /** With the usual ones a third of the descriptors, which is what clients hold at most. */
  private static final int MANY_CLIENTS = 300;

  private static final int MAX_OPEN_REQUESTS = 32;
  private static final int LARGEST_OBJECT_BYTES = 240_000;
  private static final int BUDGET_MILLIS = 2000;
  private static final int PIPELINING_CLIENTS = 8;
  private static final int PIPELINE_BUDGET_MILLIS = 5000;
  private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

  /** After each of the largest objects: six megabytes a second. */
  private static final int READ_PAUSE_MILLIS = 40;

  /** Up to half a second after its time an answer is late, but the request is not lost. */
  private static final int LOST_AFTER_MILLIS = BUDGET_MILLIS + 550;

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  @BeforeEach
  void useMinimumMemory() throws Exception {
    restartWithMinimumMemory();
  }

  @AfterEach
  void endThreads() {
    threads.shutdownNow();
  }

  /** A connection whose answers are read and dropped. */
  private Socket floodingClient() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    InputStream in = socket.getInputStream();
    threads.execute(
        () -> {
          try {
            in.transferTo(OutputStream.nullOutputStream());
          } catch (IOException e) {
            // The connection has ended.
          }
        });
    return socket;
  }

  private byte[] calls(int count, int budgetMillis) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int tag = 1; tag <= count; tag++) {
      String fields = callFields("f" + tag, budgetMillis);
      bytes.writeBytes(ToyServer.frame("RPC.CALL", tag, "clip", fields, ""));
    }
    return bytes.toByteArray();
  }

  /** All clients connect, send their calls at once, read what they are sent, and go. */
  private void playFlood(int callsEach) throws Exception {
    List<Socket> sockets = new ArrayList<>();
    List<byte[]> requests = new ArrayList<>();
    for (int i = 0; i < MANY_CLIENTS; i++) {
      sockets.add(floodingClient());
      requests.add(calls(callsEach, BUDGET_MILLIS));
    }
    for (int i = 0; i < MANY_CLIENTS; i++) {
      Socket socket = sockets.get(i);
      byte[] bytes = requests.get(i);
      threads.execute(
          () -> {
            try {
              socket.getOutputStream().write(bytes);
            } catch (IOException e) {
              // The gateway has closed the connection, as it may.
            }
          });
    }
    TimeUnit.MILLISECONDS.sleep(1500);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Returns when a request is served; right after an overload some may still be rejected. */
  private void awaitServed(String object) throws Exception {
    try (ToyServer.Client client = client()) {
      int tag = 1;
      while (!status(call(client, String.valueOf(tag), object + tag)).equals("ACK")) {
        TimeUnit.MILLISECONDS.sleep(50);
        tag++;
        assertThat(tag).as("requests in a row that were not served").isLessThan(100);
      }
    }
  }

  /**
   * Guards against an event loop that ends in a full heap, so that nothing is answered any more.
   */
  @Test
  void hundredsOfClientsThatSendHundredsOfCallsLoseNoOthersRequests() throws Exception {
    CompletableFuture<Void> flood =
        CompletableFuture.runAsync(
            () -> {
              try {
                playFlood(250);
                playFlood(250);
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            },
            threads);
    try (ToyServer.Client usual = client()) {
      for (int tag = 1; tag <= 100 || !flood.isDone(); tag++) {
        long start = System.nanoTime();
        usual.call(String.valueOf(tag), "clip", callFields("a" + tag, BUDGET_MILLIS), "");
        assertThat(status(usual.readResponse())).isIn("ACK", "NAK", "FAIL");
        assertThat(System.nanoTime() - start)
            .isLessThan(TimeUnit.MILLISECONDS.toNanos(LOST_AFTER_MILLIS));
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }
    flood.get();
    assertThat(gateway.isAlive()).isTrue();
    awaitServed("b");
  }

  /** Guards against the loss of a client's requests because it reads more slowly than is sent. */
  @Test
  void clientsThatPipelineTheLargestObjectsAreNotDisconnected() throws Exception {
    caches.forEach(cache -> cache.bodySize = LARGEST_OBJECT_BYTES);
    List<CompletableFuture<Integer>> answered = new ArrayList<>();
    for (int i = 0; i < PIPELINING_CLIENTS; i++) {
      byte[] requests = calls(MAX_OPEN_REQUESTS, PIPELINE_BUDGET_MILLIS);
      answered.add(CompletableFuture.supplyAsync(() -> countAnswers(requests), threads));
    }
    for (CompletableFuture<Integer> count : answered) {
      assertThat(count.get(20, TimeUnit.SECONDS)).isEqualTo(MAX_OPEN_REQUESTS);
    }
    awaitServed("c");
  }

  /** Sends the requests at once; returns how many answers came while reading steadily. */
  private int countAnswers(byte[] requests) {
    int count = 0;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(address);
      socket.setSoTimeout(PIPELINE_BUDGET_MILLIS + 550);
      socket.getOutputStream().write(requests);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (; count < MAX_OPEN_REQUESTS; count++) {
        ToyServer.readFrame(in);
        TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // What has not come by now is lost.
    }
    return count;
  }

  /** Guards against a heap that is filled by as many open requests as the protocol allows. */
  @Test
  void eachOfTheMostOpenRequestsIsAnsweredWhileAllCachesAreSilent() throws Exception {
    caches.forEach(cache -> cache.behavior = CacheBehavior.SILENT);
    List<ToyServer.Client> clients = new ArrayList<>();
    for (int i = 0; i < MANY_CLIENTS; i++) {
      clients.add(client());
    }
    long start = System.nanoTime();
    for (ToyServer.Client client : clients) {
      client.socket.getOutputStream().write(calls(MAX_OPEN_REQUESTS, BUDGET_MILLIS));
    }
    for (ToyServer.Client client : clients) {
      for (int i = 0; i < MAX_OPEN_REQUESTS; i++) {
        assertThat(status(client.readResponse())).isIn("NAK", "FAIL");
      }
    }
    assertThat(System.nanoTime() - start)
        .isLessThan(TimeUnit.MILLISECONDS.toNanos(LOST_AFTER_MILLIS + 1000));
    for (ToyServer.Client client : clients) {
      client.close();
    }
    caches.forEach(cache -> cache.behavior = CacheBehavior.SERVE);
    assertThat(gateway.isAlive()).isTrue();
  }
}
