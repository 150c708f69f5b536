package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome.Result;

/** Bytes of the client protocol, as they stand on the sockets. */
@Timeout(30)
class ClientWireFormatTest extends WireFormatHarness {

  ClientWireFormatTest() throws IOException {}

  @Test
  void unmodifiedCopyHasItsBytes() throws Exception {
    decide(request -> plainAttempt());
    send(client, call(MINIMAL_FIELDS + ",ver=4be0c1927d55a6f3", ""));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(
        cache,
        MINIMAL_ASK.replace("$88", "$109").replace("0211\r\n", "0211,got=4be0c1927d55a6f3\r\n"));
    respond("NOMOD", "why=hit,digest=4be0c1927d55a6f3,dated=1764576000123", "");
    assertReads(
        client,
        "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$32\r\nunchanged=1,ver=4be0c1927d55a6f3\r\n$0\r\n\r\n");
    assertThat(outcome().result()).isEqualTo(Result.SERVED);
  }

  @Test
  void cancelOfTheClientIsACancelAtTheCache() throws Exception {
    startRequest();
    send(client, "*2\r\n$10\r\nRPC.CANCEL\r\n$1\r\n7\r\n");
    assertReads(cache, "*2\r\n$4\r\nQUIT\r\n$16\r\n9b1f03aa5c7e2d41\r\n");
    assertThat(outcome().result()).isEqualTo(Result.CANCELLED);
  }

  @Test
  void rejectionsHaveTheirBytes() throws Exception {
    decide(request -> new Decision.Reject(Duration.ofMillis(250)));
    send(client, call(MINIMAL_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$11\r\nbackoff=250\r\n$0\r\n\r\n");
    decide(request -> new Decision.Reject(Duration.ofNanos(1)));
    send(client, call(MINIMAL_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$9\r\nbackoff=1\r\n$0\r\n\r\n");
    decide(request -> new Decision.Reject(null));
    send(client, call(MINIMAL_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
    send(client, call(MINIMAL_FIELDS.replace("budget", "bugdet"), ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  @Test
  void healthCheckHasItsBytes() throws Exception {
    send(client, "*3\r\n$10\r\nRPC.HEALTH\r\n$1\r\n8\r\n$0\r\n\r\n");
    assertReads(client, "*4\r\n$1\r\n8\r\n$3\r\nRED\r\n$0\r\n\r\n$0\r\n\r\n");
    onLoop(
        () -> {
          pipeline.setReady(true);
          return null;
        });
    send(client, "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n9\r\n");
    assertReads(client, "*4\r\n$1\r\n9\r\n$5\r\nGREEN\r\n$0\r\n\r\n$0\r\n\r\n");
  }
}
