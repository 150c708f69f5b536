package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tamarindroute.example.ToyServer.id;

import java.io.EOFException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.Mode;

/**
 * What ends at the client's side, and the gateway's own end: each way out pays what is still owed.
 */
@Timeout(60)
class EndingsIT extends GatewayRig {

  /**
   * What the gateway's one selecting thread was told before is with its owner when two answers have
   * come.
   */
  private void caughtUp() throws Exception {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 2; tag++) {
        client.send("RPC.HEALTH", tag, "");
        client.read();
      }
    }
  }

  private ToyServer.Cache asked(String id) throws InterruptedException {
    while (true) {
      for (ToyServer.Cache cache : caches) {
        if (cache.seen.stream().anyMatch(command -> command.startsWith("ASK " + id))) {
          return cache;
        }
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private long asks(String id) {
    return caches.stream()
        .flatMap(cache -> cache.seen.stream())
        .filter(c -> c.startsWith("ASK " + id))
        .count();
  }

  private long millisTo(Process end, long from) throws InterruptedException {
    assertThat(end.waitFor(10, TimeUnit.SECONDS)).isTrue();
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
  }

  /** Nonsense ends what may come, not what was taken before it. */
  @Test
  void whatIsOpenBesideAMalformedFrameIsAnswered() throws Exception {
    mode(Mode.LATE);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1".formatted(id("d1"), id("5")),
          "");
      asked(id("d1"));
      client
          .socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      client.socket.getOutputStream().write(new byte[300_000]);
      List<byte[]> answer = client.read();
      assertThat(tag(answer)).isEqualTo("1");
      assertThat(answer.get(3)).isEqualTo(ToyServer.bytesOf(id("5"), 2000));
      assertThatThrownBy(client::read).isInstanceOf(EOFException.class);
    }
    logged("client-unreadable");
  }

  /** An attempt that breaks when its client has closed is not made good by another. */
  @Test
  void noFurtherAttemptIsBegunForAClientThatClosed() throws Exception {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 8; tag++) {
        ask(client, String.valueOf(tag), "a" + tag);
      }
    }
    mode(Mode.SILENT);
    ToyServer.Client client = client();
    client.call(
        "1",
        "clip",
        "rid=%s,budget=5000,obj=%s,piece=0,lot=1,mem=1".formatted(id("d2"), id("5")),
        "");
    ToyServer.Cache at = asked(id("d2"));
    client.close();
    caughtUp();
    at.close();
    logged("cache-lost");
    mode(Mode.SERVE);
    try (ToyServer.Client other = client()) {
      for (int tag = 1; tag <= 8; tag++) {
        assertThat(word(ask(other, String.valueOf(tag), "b" + tag))).isEqualTo("ACK");
      }
    }
    assertThat(asks(id("d2"))).isEqualTo(1);
  }

  /**
   * At the gateway's last moment the module would send on what has time left: nobody would wait for
   * it.
   */
  @Test
  void whatIsAnsweredAtTheEndIsSentOnNoMoreAndRefusedWhereThatIsHarmless() throws Exception {
    caches.forEach(cache -> cache.mode = Mode.SILENT);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=9000,obj=%s,piece=0,lot=1,mem=1".formatted(id("d3"), id("5")),
          "");
      client.call(
          "2",
          "once",
          "rid=%s,budget=9000,obj=%s,piece=0,lot=1,mem=1".formatted(id("d4"), id("6")),
          "");
      asked(id("d3"));
      asked(id("d4"));
      long from = System.nanoTime();
      gateway.destroy();
      List<byte[]> one = client.read();
      List<byte[]> two = client.read();
      assertThat(word(tag(one).equals("1") ? one : two)).isEqualTo("NAK");
      assertThat(word(tag(one).equals("2") ? one : two)).isEqualTo("FAIL");
      assertThatThrownBy(client::read).isInstanceOf(EOFException.class);
      assertThat(millisTo(gateway, from)).isGreaterThan(3400);
    }
    // The longest deadline, 3 s, and 0.7 s more is when SIGKILL may come; the machine's own end
    // comes after this.
    String log = Files.readString(folder.resolve("out.log"));
    Matcher stop = Pattern.compile("([0-9]+) ms after SIGTERM, 0 in hand").matcher(log);
    assertThat(stop.find()).as(log).isTrue();
    assertThat(Integer.parseInt(stop.group(1))).isBetween(3500, 3700);
    assertThat(Files.readString(folder.resolve("out.log"))).doesNotContain("defect");
    assertThat(asks(id("d4"))).isEqualTo(1);
  }

  /**
   * Past the time in which requests come, one beside an open one is refused at once and never sent
   * on.
   */
  @Test
  void whatComesAfterTheDoorIsShutIsRefusedAndNotSentOn() throws Exception {
    mode(Mode.SILENT);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1".formatted(id("d5"), id("5")),
          "");
      asked(id("d5"));
      gateway.destroy();
      awaitShut();
      String refused = null;
      for (int tag = 2; tag <= 30 && refused == null; tag++) {
        client.call(
            String.valueOf(tag),
            "clip",
            "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1"
                .formatted(id("e" + (100 + tag)), id("6")),
            "");
        client.send("RPC.HEALTH", 100 + tag, "");
        List<byte[]> answer = client.read();
        refused = word(answer).equals("NAK") ? tag(answer) : null;
      }
      assertThat(refused).isNotNull();
      assertThat(word(client.read())).isEqualTo("RED");
      assertThat(asks(id("e" + (100 + Integer.parseInt(refused))))).isZero();
    }
    assertThat(gateway.waitFor(5, TimeUnit.SECONDS)).isTrue();
  }

  private void awaitShut() throws Exception {
    for (int i = 0; i < 400; i++) {
      try {
        client().close();
      } catch (ConnectException e) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new AssertionError("the door is open still");
  }

  /**
   * A client that rests sees an orderly end, and the gateway is gone right after; with none it is
   * as quick.
   */
  @Test
  void aRestingClientIsClosedInOrderAndTheEndIsQuick() throws Exception {
    try (ToyServer.Client resting = client();
        ToyServer.Client silent = client()) {
      ask(resting, "1", "5");
      long from = System.nanoTime();
      gateway.destroy();
      assertThatThrownBy(resting::read).isInstanceOf(EOFException.class);
      assertThatThrownBy(silent::read).isInstanceOf(EOFException.class);
      resting.close();
      silent.close();
      assertThat(millisTo(gateway, from)).isBetween(700L, 1400L);
    }
    launch();
    long from = System.nanoTime();
    gateway.destroy();
    assertThat(millisTo(gateway, from)).isBetween(700L, 1400L);
  }

  /** A client that neither closes nor reads does not hold the gateway to its last moment. */
  @Test
  void aClientThatNeverClosesDoesNotHoldTheEnd() throws Exception {
    try (ToyServer.Client resting = client()) {
      ask(resting, "1", "5");
      long from = System.nanoTime();
      gateway.destroy();
      assertThat(millisTo(gateway, from)).isBetween(700L, 1600L);
      assertThatThrownBy(resting::read).isInstanceOf(EOFException.class);
    }
  }

  @Test
  void furtherSignalsInTheMidstOfTheEndChangeNothing() throws Exception {
    mode(Mode.LATE);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1".formatted(id("d6"), id("5")),
          "");
      asked(id("d6"));
      long from = System.nanoTime();
      gateway.destroy();
      hangUp();
      gateway.destroy();
      hangUp();
      assertThat(word(client.read())).isEqualTo("ACK");
      assertThat(word(ask(client, "2", "6"))).isEqualTo("ACK");
      assertThatThrownBy(client::read).isInstanceOf(EOFException.class);
      client.close();
      assertThat(millisTo(gateway, from)).isBetween(700L, 1600L);
    }
  }
}
