package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.protocol.CacheResponse;

/**
 * Connections to caches that are handed out, evicted or given up within one turn of the event loop.
 */
@Timeout(30)
class CacheConnectionRaceTest extends PipelineHarness {

  CacheConnectionRaceTest() throws IOException {}

  /** Records how one request to a cache ended. */
  private static final class RecordingHandler implements ResponseHandler {

    private final CompletableFuture<String> completion = new CompletableFuture<>();

    @Override
    public void onResponse(CacheResponse response, int bodyLength) {}

    @Override
    public void onBody(ByteBuffer part, Connection from) {}

    @Override
    public void onComplete() {
      completion.complete("whole");
    }

    @Override
    public void onFailure(CloseReason closeReason, boolean written) {
      completion.complete(closeReason.toString());
    }

    String awaitCompletion() throws Exception {
      return completion.get(5, TimeUnit.SECONDS);
    }
  }

  /** Sends a request of this tag, on the event loop; returns what cancels it. */
  private static Runnable sendRequest(
      CacheConnectionPool connectionPool, String tag, RecordingHandler handler) {
    return connectionPool.send(WireConnection.requestId(tag), () -> "-", List.of(), 0, handler);
  }

  /**
   * All eight connections are up; in one turn the longest idle are taken, then anotherPool cache
   * needs one.
   */
  @Test
  void connectionInUseIsNotEvicted() throws Exception {
    List<CacheConnectionPool> pools = new ArrayList<>();
    List<WireConnection> caches = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      CacheConnectionPool connectionPool = connectionPool("s-" + i, address(firstCache.socket()));
      RecordingHandler up = new RecordingHandler();
      onEventLoop(() -> sendRequest(connectionPool, "1", up));
      WireConnection cache = accept(firstCache);
      assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
      cache.respond("1");
      assertThat(up.awaitCompletion()).isEqualTo("whole");
      pools.add(connectionPool);
      caches.add(cache);
    }
    CacheConnectionPool otherPool = connectionPool("s-8", address(secondCache.socket()));
    CacheConnectionPool lastPool = connectionPool("s-9", address(secondCache.socket()));
    List<RecordingHandler> inUse = new ArrayList<>();
    RecordingHandler evicting = new RecordingHandler();
    RecordingHandler tooMany = new RecordingHandler();
    onEventLoop(
        () -> {
          for (int i = 0; i < 7; i++) {
            inUse.add(new RecordingHandler());
            sendRequest(pools.get(i), "2", inUse.get(i));
          }
          sendRequest(otherPool, "2", evicting);
          return sendRequest(lastPool, "2", tooMany);
        });
    assertThat(caches.get(7).readFrame()).as("the one idle").isEqualTo("end");
    assertThat(tooMany.awaitCompletion()).isEqualTo("NO_DESCRIPTOR");
    for (int i = 0; i < 7; i++) {
      assertThat(caches.get(i).readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
      caches.get(i).respond("2");
      assertThat(inUse.get(i).awaitCompletion()).isEqualTo("whole");
    }
    WireConnection cache = accept(secondCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    cache.respond("2");
    assertThat(evicting.awaitCompletion()).isEqualTo("whole");
  }

  @Test
  void requestCancelledBeforeItsConnectionIsUp() throws Exception {
    CacheConnectionPool connectionPool = connectionPool("s-1", address(firstCache.socket()));
    RecordingHandler after = new RecordingHandler();
    onEventLoop(
        () -> {
          sendRequest(connectionPool, "1", new RecordingHandler()).run();
          return sendRequest(connectionPool, "2", after);
        });
    WireConnection cache = accept(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    cache.respond("2");
    assertThat(after.awaitCompletion()).isEqualTo("whole");
  }

  /**
   * AnotherPool is open there, or a connection that has said nothing since would be closed with it.
   */
  @Test
  void requestCancelledOnAnOpenConnection() throws Exception {
    CacheConnectionPool connectionPool = connectionPool("s-1", address(firstCache.socket()));
    RecordingHandler open = new RecordingHandler();
    onEventLoop(() -> sendRequest(connectionPool, "1", open));
    WireConnection cache = accept(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    RecordingHandler cancelled = new RecordingHandler();
    onEventLoop(
        () -> {
          sendRequest(connectionPool, "2", cancelled).run();
          return null;
        });
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d42");
    cache.respond("2");
    cache.respond("1");
    assertThat(open.awaitCompletion()).isEqualTo("whole");
    assertThat(cancelled.completion).isNotDone();
  }
}
