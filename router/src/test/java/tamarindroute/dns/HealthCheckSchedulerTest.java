package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.dns.HealthCheckScheduler.HealthCheckResult;
import tamarindroute.protocol.MalformedMessageException;

/** Who is probed when, what silence means; and the cutting of streams into messages. */
class HealthCheckSchedulerTest {

  private static final Duration EVERY = Duration.ofSeconds(1);

  private static Duration at(double seconds) {
    return Duration.ofMillis(Math.round(seconds * 1000));
  }

  private static HealthCheckScheduler probes(double most, List<Cache> caches) {
    HealthCheckScheduler healthChecks =
        new HealthCheckScheduler(
            new DnsSettings.HealthCheckSettings(EVERY, most, Duration.ofMillis(200)));
    healthChecks.onCacheList(caches);
    return healthChecks;
  }

  private static List<Cache> caches(int count) {
    return IntStream.range(0, count).mapToObj(Cache::new).toList();
  }

  @Test
  void rateLimitHoldsAndEachCacheGetsItsTurn() {
    List<Cache> caches = caches(100);
    HealthCheckScheduler healthChecks = probes(20, caches);
    java.util.Map<Cache, Integer> sent = new java.util.HashMap<>();
    int all = 0;
    for (int tick = 0; tick < 500; tick++) {
      for (Cache cache : healthChecks.takeDue(at(tick * 0.02))) {
        sent.merge(cache, 1, Integer::sum);
        all++;
        healthChecks.onResult(cache, HealthCheckResult.READY, at(tick * 0.02));
      }
    }
    assertThat(all).isBetween(195, 203);
    assertThat(sent).hasSize(100).allSatisfy((cache, count) -> assertThat(count).isBetween(1, 3));
    // A pause of this process is not followed by a burst.
    assertThat(healthChecks.takeDue(at(100))).hasSizeLessThanOrEqualTo(2);
  }

  @Test
  void timeoutIsReportedOnlyIfOtherCachesAnswer() {
    List<Cache> caches = caches(3);
    HealthCheckScheduler healthChecks = probes(1000, caches);
    healthChecks.takeDue(at(0));
    assertThat(healthChecks.onResult(caches.get(0), HealthCheckResult.READY, at(0.1)))
        .containsExactly(new HealthCheckScheduler.Report(caches.get(0), Result.SERVED));
    healthChecks.onResult(caches.get(1), HealthCheckResult.READY, at(0.1));
    assertThat(healthChecks.onResult(caches.get(2), HealthCheckResult.TIMED_OUT, at(0.3)))
        .containsExactly(new HealthCheckScheduler.Report(caches.get(2), Result.TIMED_OUT));
    for (int round = 0; round < 5; round++) {
      for (Cache cache : caches) {
        assertThat(healthChecks.onResult(cache, HealthCheckResult.TIMED_OUT, at(5 + round)))
            .isEmpty();
      }
    }
    assertThat(healthChecks.onResult(caches.get(1), HealthCheckResult.REFUSED, at(11)))
        .containsExactly(new HealthCheckScheduler.Report(caches.get(1), Result.CONNECT_FAILED));
    assertThat(healthChecks.onResult(caches.get(0), HealthCheckResult.NOT_SENT, at(11))).isEmpty();
    assertThat(healthChecks.onResult(caches.get(0), HealthCheckResult.UNHEALTHY, at(11)))
        .containsExactly(new HealthCheckScheduler.Report(caches.get(0), Result.FAILED));
  }

  @Test
  void readinessExpiresAndGoesWithTheCache() {
    List<Cache> caches = caches(2);
    HealthCheckScheduler healthChecks = probes(1000, caches);
    healthChecks.takeDue(at(0));
    healthChecks.onResult(caches.get(0), HealthCheckResult.READY, at(0));
    assertThat(healthChecks.isRecentlyReady(caches.get(0), at(2.9))).isTrue();
    assertThat(healthChecks.isRecentlyReady(caches.get(0), at(3.1))).isFalse();
    healthChecks.onCacheList(caches.subList(1, 2));
    assertThat(healthChecks.isRecentlyReady(caches.get(0), at(1))).isFalse();
    assertThat(healthChecks.onResult(caches.get(0), HealthCheckResult.READY, at(1))).isEmpty();
  }

  @Test
  void streamIsSplitIntoMessagesHoweverItArrivesAndLongOnesAreRejected()
      throws MalformedMessageException {
    byte[] first = {1, 2, 3};
    byte[] second = new byte[700];
    java.nio.ByteBuffer all =
        java.nio.ByteBuffer.allocate(707)
            .put(TcpMessageFramer.frame(first))
            .put(TcpMessageFramer.frame(second));
    for (int step : new int[] {1, 2, 5, 100, 707}) {
      TcpMessageFramer framer = new TcpMessageFramer(1024);
      java.util.List<byte[]> whole = new java.util.ArrayList<>();
      for (int from = 0; from < 707; from += step) {
        java.nio.ByteBuffer some =
            java.nio.ByteBuffer.wrap(all.array(), from, Math.min(step, 707 - from));
        for (byte[] one = framer.nextMessage(some); one != null; one = framer.nextMessage(some)) {
          whole.add(one);
        }
      }
      assertThat(whole).containsExactly(first, second);
      assertThat(framer.isBetweenMessages()).isTrue();
    }
    for (int length : new int[] {0, 1025, 65535}) {
      java.nio.ByteBuffer bytes = java.nio.ByteBuffer.allocate(2).putShort((short) length).flip();
      org.assertj.core.api.Assertions.assertThatThrownBy(
              () -> new TcpMessageFramer(1024).nextMessage(bytes))
          .isInstanceOf(MalformedMessageException.class);
    }
  }
}
