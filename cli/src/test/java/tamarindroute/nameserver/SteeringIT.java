package tamarindroute.nameserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import tamarindroute.nameserver.QueryLoad.ObservedAnswer;

/** Steering of clients while caches drain, restart, or while the feed is lost. */
class SteeringIT extends NameServerHarness {

  /** The option number of extended DNS errors (RFC 8914). */
  private static final int EXTENDED_ERROR = 15;

  /** The load that a started cache bears: its share at the start, rising to all of its weight. */
  private static final double LOAD_MULTIPLE = 3;

  private static final double CACHE_WEIGHT = 40;
  private static final double COLD_SHARE = 0.22;
  private static final double WARM_AFTER_SECONDS = 17;

  /** A span in which an address must not be answered, in nanoseconds. */
  private record ForbiddenPeriod(String address, long from, long until) {

    boolean contains(ObservedAnswer answer) {
      return address.equals(answer.address())
          && answer.observedAt() > from
          && answer.observedAt() < until;
    }
  }

  private static String address(int cache) {
    return "127.0.1." + (cache + 1);
  }

  /** The load under which a cache of this age would be overloaded. */
  private static double slowStartLimit(double ageSeconds) {
    return LOAD_MULTIPLE
        * CACHE_WEIGHT
        * (COLD_SHARE + (1 - COLD_SHARE) * ageSeconds / WARM_AFTER_SECONDS);
  }

  @Test
  void drainedCacheLeavesAllAnswersWithinHalfASecondUnderLoad() throws Exception {
    int edges = 32;
    NameServerProcess nameServer = startNameServer(edges, STEERING);
    QueryLoad load = QueryLoad.start(nameServer, 4);
    List<ForbiddenPeriod> forbiddenPeriods = drainRepeatedly(edges, 200);
    List<ObservedAnswer> answers = load.stop();
    assertThat(answers.size()).as("answers").isGreaterThan(5000);
    Set<String> seen = new HashSet<>();
    for (ObservedAnswer answer : answers) {
      seen.add(answer.address());
      assertThat(forbiddenPeriods).noneMatch(period -> period.contains(answer));
    }
    assertThat(seen).as("all take part while they are ready").hasSize(edges);
  }

  /** Drains random caches for 0.7 s each; none may be answered from 0.5 s after its drain on. */
  private List<ForbiddenPeriod> drainRepeatedly(int edges, int drains) throws InterruptedException {
    List<ForbiddenPeriod> forbiddenPeriods = new ArrayList<>();
    Map<Integer, Long> drainedAt = new HashMap<>();
    Random random = new Random(1);
    while (forbiddenPeriods.size() < drains) {
      long now = System.nanoTime();
      for (int cache : List.copyOf(drainedAt.keySet())) {
        long since = drainedAt.get(cache);
        if (now - since > TimeUnit.MILLISECONDS.toNanos(700)) {
          long from = since + TimeUnit.MILLISECONDS.toNanos(500);
          forbiddenPeriods.add(new ForbiddenPeriod(address(cache), from, now));
          drainedAt.remove(cache);
          publish(cache, "ready", 0);
        }
      }
      int next = random.nextInt(edges);
      if (!drainedAt.containsKey(next)) {
        drainedAt.put(next, System.nanoTime());
        publish(next, "draining", 0);
      }
      TimeUnit.MILLISECONDS.sleep(35);
    }
    return forbiddenPeriods;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void coldCacheStaysBelowItsSlowStartLimitBehindCachingResolvers(int instances) throws Exception {
    double loadPerAnswer = 4;
    List<NameServerProcess> nameServers = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      nameServers.add(
          startNameServer(4, instances, "", ZONE + steering(loadPerAnswer) + UNLIMITED));
    }
    CachingResolvers resolvers = new CachingResolvers(nameServers, 60);
    long restartedAtMillis = 0;
    boolean gone = false;
    double worstRatio = 0;
    double highestLoad = 0;
    for (double now = 0; now < 11; now = resolvers.elapsedSeconds()) {
      if (!gone && now > 0.5) {
        gone = true;
        publish(0, "gone", 0);
      } else if (restartedAtMillis == 0 && now > 3.5) {
        restartedAtMillis = System.currentTimeMillis();
        publish(0, "ready", restartedAtMillis);
      }
      resolvers.refresh(now);
      if (restartedAtMillis > 0) {
        double ageSeconds = (System.currentTimeMillis() - restartedAtMillis) / 1000.0;
        double load = loadPerAnswer * resolvers.count(address(0));
        highestLoad = Math.max(highestLoad, load);
        worstRatio = Math.max(worstRatio, load / slowStartLimit(ageSeconds));
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(worstRatio).as("load in proportion to the limit").isLessThanOrEqualTo(1);
    assertThat(highestLoad).as("it is not left out").isGreaterThanOrEqualTo(8);
  }

  @Test
  void massRestartLimitsEachCacheAndRejectsTheRestImmediately() throws Exception {
    NameServerProcess nameServer = startNameServer(4, STEERING);
    nameServer.query(SHED_3, 1000);
    TimeUnit.MILLISECONDS.sleep(1200);
    publishMassRestart(4);
    TimeUnit.MILLISECONDS.sleep(100);
    Map<String, Integer> answersByCache = new HashMap<>();
    int rejected = 0;
    long from = System.nanoTime();
    for (int i = 0; i < 300; i++) {
      Message message = nameServer.query(SHED_3, 1000);
      if (message.getRcode() == Rcode.SERVFAIL) {
        rejected++;
        assertThat(message.getOPT().getOptions(EXTENDED_ERROR)).isNotEmpty();
      }
      NameServerProcess.addresses(message)
          .forEach(address -> answersByCache.merge(address, 1, Integer::sum));
    }
    double seconds = (System.nanoTime() - from) * 1e-9 + 0.2;
    // Answers that have expired after a second may have been given again.
    double most = slowStartLimit(seconds) * Math.max(1, seconds);
    assertThat(answersByCache)
        .hasSize(4)
        .allSatisfy((cache, count) -> assertThat((double) count).isBetween(10.0, most));
    assertThat(rejected).isPositive();
  }

  private void publishMassRestart(int edges) {
    long startedMillis = System.currentTimeMillis();
    String endpoints =
        IntStream.range(0, edges)
            .mapToObj(
                cache -> NameServerProcess.endpointJson(cache, CACHE_PORT, "ready", startedMillis))
            .collect(Collectors.joining(","));
    feed.publish(NameServerProcess.listEvent(endpoints));
  }

  @Test
  void lostFeedKeepsADrainedCacheOutAndEndsInServfailWithReason() throws Exception {
    NameServerProcess nameServer =
        startNameServer(3, STEERING.replace("carries", "stale-for=\"PT8S\" carries"));
    publish(1, "draining", 0);
    await(() -> feed.requests.stream().anyMatch(request -> request.contains("SUB=2")));
    feed.close();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    boolean markedStale = false;
    boolean refused = false;
    while (!refused && System.nanoTime() < end) {
      Message message = nameServer.query(SHED_3, 1000);
      assertThat(NameServerProcess.addresses(message)).doesNotContain(address(1));
      refused = message.getRcode() == Rcode.SERVFAIL;
      if (!refused && !message.getOPT().getOptions(EXTENDED_ERROR).isEmpty()) {
        markedStale = true;
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(markedStale).as("the last list, marked, before").isTrue();
    assertThat(refused).isTrue();
  }
}
