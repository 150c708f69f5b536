package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.dns.Probes.Came;
import tamarindroute.protocol.MalformedMessageException;

/** Who is probed when, what silence means; and the cutting of streams into messages. */
class ProbesTest {

  private static final Duration EVERY = Duration.ofSeconds(1);

  private static Duration at(double seconds) {
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  private static Probes probes(double most, List<Cache> caches) {
    Probes probes = new Probes(new DnsSettings.Probing(EVERY, most, Duration.ofMillis(200)));
    probes.listed(caches);
    return probes;
  }

  private static List<Cache> caches(int count) {
    return IntStream.range(0, count).mapToObj(Cache::new).toList();
  }

  @Test
  void theBudgetHoldsAndEachGetsItsTurn() {
    List<Cache> caches = caches(100);
    Probes probes = probes(20, caches);
    java.util.Map<Cache, Integer> sent = new java.util.HashMap<>();
    int all = 0;
    for (int tick = 0; tick < 500; tick++) {
      for (Cache cache : probes.due(at(tick * 0.02))) {
        sent.merge(cache, 1, Integer::sum);
        all++;
        probes.came(cache, Came.READY, at(tick * 0.02));
      }
    }
    assertThat(all).isBetween(195, 203);
    assertThat(sent).hasSize(100).allSatisfy((cache, count) -> assertThat(count).isBetween(1, 3));
    // A pause of this process is not followed by a burst.
    assertThat(probes.due(at(100))).hasSizeLessThanOrEqualTo(2);
  }

  @Test
  void aSilentCacheIsToldWhereOthersAnswerAndNobodyIsWhereAllAreSilent() {
    List<Cache> caches = caches(3);
    Probes probes = probes(1000, caches);
    probes.due(at(0));
    assertThat(probes.came(caches.get(0), Came.READY, at(0.1)))
        .containsExactly(new Probes.Told(caches.get(0), Result.SERVED));
    probes.came(caches.get(1), Came.READY, at(0.1));
    assertThat(probes.came(caches.get(2), Came.SILENT, at(0.3)))
        .containsExactly(new Probes.Told(caches.get(2), Result.TIMED_OUT));
    for (int round = 0; round < 5; round++) {
      for (Cache cache : caches) {
        assertThat(probes.came(cache, Came.SILENT, at(5 + round))).isEmpty();
      }
    }
    assertThat(probes.came(caches.get(1), Came.REFUSED, at(11)))
        .containsExactly(new Probes.Told(caches.get(1), Result.CONNECT_FAILED));
    assertThat(probes.came(caches.get(0), Came.NOT_SENT, at(11))).isEmpty();
    assertThat(probes.came(caches.get(0), Came.AILING, at(11)))
        .containsExactly(new Probes.Told(caches.get(0), Result.FAILED));
  }

  @Test
  void aProofFadesAndGoesWithTheCache() {
    List<Cache> caches = caches(2);
    Probes probes = probes(1000, caches);
    probes.due(at(0));
    probes.came(caches.get(0), Came.READY, at(0));
    assertThat(probes.proven(caches.get(0), at(2.9))).isTrue();
    assertThat(probes.proven(caches.get(0), at(3.1))).isFalse();
    probes.listed(caches.subList(1, 2));
    assertThat(probes.proven(caches.get(0), at(1))).isFalse();
    assertThat(probes.came(caches.get(0), Came.READY, at(1))).isEmpty();
  }

  @Test
  void streamsAreCutIntoMessagesHoweverTheyComeAndLongOnesRefused()
      throws MalformedMessageException {
    byte[] first = {1, 2, 3};
    byte[] second = new byte[700];
    java.nio.ByteBuffer all =
        java.nio.ByteBuffer.allocate(707).put(Frames.frame(first)).put(Frames.frame(second));
    for (int step : new int[] {1, 2, 5, 100, 707}) {
      Frames frames = new Frames(1024);
      java.util.List<byte[]> whole = new java.util.ArrayList<>();
      for (int from = 0; from < 707; from += step) {
        java.nio.ByteBuffer some =
            java.nio.ByteBuffer.wrap(all.array(), from, Math.min(step, 707 - from));
        for (byte[] one = frames.next(some); one != null; one = frames.next(some)) {
          whole.add(one);
        }
      }
      assertThat(whole).containsExactly(first, second);
      assertThat(frames.atRest()).isTrue();
    }
    for (int length : new int[] {0, 1025, 65535}) {
      java.nio.ByteBuffer bytes = java.nio.ByteBuffer.allocate(2).putShort((short) length).flip();
      org.assertj.core.api.Assertions.assertThatThrownBy(() -> new Frames(1024).next(bytes))
          .isInstanceOf(MalformedMessageException.class);
    }
  }
}
