package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.ref.WeakReference;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.policy.RatioTestPolicy;
import tamarindroute.protocol.MalformedMessageException;

/** The registry under lists of changing caches, malformed events, gaps and replicated events. */
class EndpointRegistryTest {

  private static final String EVENT =
      "{\"n\":%d,\"events\":[{\"n\":%1$d,\"members\":{\"version\":1,\"full\":%s,"
          + "\"servers\":[{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
          + "\"state\":\"%s\",\"weight\":40,\"started_ms\":0}]}}]}";

  /** Passes lists on to another policy and records the last one. */
  private static final class RecordingPolicy implements RoutingPolicy {

    private final RoutingPolicy delegate;
    private List<Cache> last;

    RecordingPolicy(RoutingPolicy delegate) {
      this.delegate = delegate;
    }

    @Override
    public Decision route(Request request, Duration now) {
      return null;
    }

    @Override
    public Decision onOutcome(Request request, Attempt attempt, Duration now) {
      return null;
    }

    @Override
    public boolean mayStillSend(Request request, Attempt attempt, Duration now) {
      return true;
    }

    @Override
    public Duration nextDecisionDelay(Request request, Duration now) {
      return null;
    }

    @Override
    public void onEndpoints(List<Cache> caches, Duration now) {
      last = List.copyOf(caches);
      delegate.onEndpoints(caches, now);
    }

    @Override
    public void onPurge(Purge purge, Duration now) {}

    @Override
    public void onLoadReport(Cache cache, LoadReport loadReport, Duration now) {}

    @Override
    public void onQuotaGrant(Cache.Tier tier, double part, Duration until, Duration now) {}

    @Override
    public CacheHealth cacheHealth(Cache cache, Duration now) {
      return delegate.cacheHealth(cache, now);
    }

    @Override
    public List<Cache> rankedCaches(long object) {
      return delegate.rankedCaches(object);
    }

    @Override
    public void onHealthCheck(Cache cache, Outcome.Result result, Duration now) {}
  }

  @Test
  void aRemovedCacheIsForgottenWhenNoAttemptUsesIt() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    registry.onEvents(EVENT.formatted(1, true, 0, "ready"));
    Cache first = policy.last.get(0);
    Attempt attempt = new Attempt(first, first, 1, null, false, false, null);
    WeakReference<Cache> reference = null;
    for (int i = 1; i <= 50; i++) {
      registry.onEvents(EVENT.formatted(3 * i - 1, false, i, "ready"));
      if (i == 25) {
        registry.countAttempt(attempt, 1);
        reference =
            new WeakReference<>(
                policy.last.stream().filter(cache -> cache != first).findFirst().orElseThrow());
      }
      registry.onEvents(EVENT.formatted(3 * i, false, i, "draining"));
      registry.onEvents(EVENT.formatted(3 * i + 1, false, i, "gone"));
      assertThat(policy.last)
          .hasSize(2)
          .extracting(cache -> cache.availability)
          .contains(Cache.Availability.GONE);
    }
    registry.onEvents(EVENT.formatted(152, false, 0, "gone"));
    registry.onEvents(EVENT.formatted(153, false, 51, "ready"));
    assertThat(policy.last).as("an attempt is in flight").contains(first);
    registry.countAttempt(attempt, -1);
    registry.onEvents(EVENT.formatted(154, false, 52, "ready"));
    registry.onEvents(EVENT.formatted(155, false, 53, "ready"));
    assertThat(policy.last).doesNotContain(first).hasSize(3);
    for (int i = 0; i < 50 && reference.get() != null; i++) {
      System.gc();
      Thread.sleep(20);
    }
    assertThat(reference.get()).as("the policy's reference to it").isNull();
  }

  private static EndpointRegistry newRegistry(
      RecordingPolicy policy, PlatformConfiguration configuration) throws Exception {
    EventLoop eventLoop = new EventLoop();
    return new EndpointRegistry(
        configuration.settings(),
        List.of(policy),
        eventLoop,
        (id, address) ->
            new CacheConnectionPool(
                null,
                eventLoop,
                id,
                address,
                new CacheConnectionPool.Limits(4, 100, Duration.ofSeconds(1), Duration.ZERO)));
  }

  /** The whole text is checked before anything of it is applied. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{\"n\":2}",
        "{\"events\":[]}",
        "{\"n\":2,\"events\":[{}]}",
        "{\"n\":2,\"events\":[7]}",
        "{\"n\":2,\"events\":[{\"n\":\"x\"}]}",
        "{\"n\":2,\"events\":{}}"
      })
  void aMalformedTextIsRejectedAndTheListIsKept(String text) throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    registry.onEvents(EVENT.formatted(1, true, 0, "ready"));
    String next = EVENT.formatted(2, true, 1, "ready");
    assertThatThrownBy(() -> registry.onEvents(text)).isInstanceOf(MalformedMessageException.class);
    for (int cut = 1; cut < next.length(); cut++) {
      String half = next.substring(0, cut);
      assertThatThrownBy(() -> registry.onEvents(half))
          .as(half)
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThatThrownBy(() -> registry.onEvents(next + "}"))
        .isInstanceOf(MalformedMessageException.class);
    assertThat(registry.lastEventNumber()).isEqualTo(1);
    registry.onEvents(next);
    assertThat(policy.last)
        .filteredOn(cache -> cache.availability == Cache.Availability.READY)
        .hasSize(1);
    assertThat(registry.caches()).hasSize(1);
  }

  @Test
  void aMalformedEntryAffectsOnlyItself() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    String good =
        "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"state\":\"ready\"}";
    registry.onEvents(
        "{\"events\":[{\"members\":{\"servers\":[7,{},{\"id\":5},{\"id\":\"s-2\",\"state\":\"odd\"},{\"id\":\"s-3\","
            + "\"state\":\"ready\"},"
            + good
            + "],\"full\":true},\"n\":1},{\"n\":2,\"purge\":{}},{\"n\":3,\"purge\":[]},"
            + "{\"n\":4,\"members\":7},{\"n\":5,\"members\":{}},{\"n\":6,\"other\":{\"x\":[1]}}],\"n\":6}");
    assertThat(registry.lastEventNumber()).isEqualTo(6);
    assertThat(registry.caches()).hasSize(1);
    assertThat(registry.id(registry.caches().get(0))).isEqualTo("s-1");
  }

  /** The rest of the entry is applied, and the policy never sees the impossible value. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"weight\":-3",
        "\"weight\":0",
        "\"weight\":\"NaN\"",
        "\"weight\":\"Infinity\"",
        "\"started_ms\":9223372036854775807",
        "\"started_ms\":-9223372036854775807"
      })
  void anImpossibleWeightOrTimeIsIgnored(String field) throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    String entry =
        "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"state\":\"ready\","
            + field
            + "}";
    registry.onEvents(
        "{\"n\":2,\"events\":[{\"n\":1,\"members\":{\"full\":true,\"servers\":["
            + entry
            + "]}},"
            + "{\"n\":2,\"purge\":{\"group\":7,\"at\":9223372036854775807}}]}");
    assertThat(registry.lastEventNumber()).isEqualTo(2);
    Cache cache = registry.caches().get(0);
    assertThat(cache.weight).isEqualTo(1);
    assertThat(cache.startedAt == null || cache.startedAt.compareTo(Duration.ofMinutes(1)) < 0)
        .isTrue();
  }

  /** Each change takes time proportional to the length of the list, not to its square. */
  @Test
  void changesOfALongListTakeLinearTime() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    String entry = EVENT.substring(EVENT.indexOf("{\"id\""), EVENT.indexOf("]}}]}"));
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 4096; i++) {
      all.append(i == 0 ? "" : ",")
          .append(entry.replace("%d", String.valueOf(i)).replace("%s", "ready"));
    }
    String whole = EVENT.formatted(1, true, 0, "ready");
    registry.onEvents(
        whole.replace(whole.substring(whole.indexOf("{\"id\""), whole.indexOf("]}}]}")), all));
    assertThat(registry.caches()).hasSize(4096);
    long from = System.nanoTime();
    for (int i = 0; i < 200; i++) {
      registry.onEvents(EVENT.formatted(2 + 2 * i, false, i, "gone"));
      registry.onEvents(EVENT.formatted(3 + 2 * i, false, 5000 + i, "ready"));
    }
    // Linear time takes well below a second, and quadratic time about ten; the bound leaves room
    // for a busy machine.
    assertThat(Duration.ofNanos(System.nanoTime() - from)).isLessThan(Duration.ofSeconds(4));
    assertThat(registry.caches()).hasSize(4096);
  }

  /**
   * The feed still has all events before the gap; the drain after it is applied at the third
   * request.
   */
  @Test
  void aLastingGapHidesNoDrainThoughEarlierEventsAreRepeated() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    String first = EVENT.formatted(1, true, 0, "ready");
    String later =
        "{\"n\":4,\"members\":{\"full\":false,\"servers\":[{\"id\":\"s-0\",\"state\":\"draining\"}]}}";
    registry.onEvents(first);
    for (int i = 0; i < 2; i++) {
      assertThat(registry.lastEventNumber()).isEqualTo(1);
      assertThatThrownBy(() -> registry.onEvents("{\"n\":4,\"events\":[" + later + "]}"))
          .hasMessageContaining("missing");
    }
    assertThat(registry.lastEventNumber()).as("all events are requested").isZero();
    registry.onEvents(
        first
            .replace("{\"n\":1,\"events\"", "{\"n\":4,\"events\"")
            .replace("}]}}]}", "}]}}," + later + "]}"));
    assertThat(registry.lastEventNumber()).isEqualTo(4);
    assertThat(policy.last.get(0).availability).isEqualTo(Cache.Availability.DRAINING);
  }

  /**
   * A replicated event is applied once and in order; the own feed, which lags behind it, has not
   * restarted its numbering.
   */
  @Test
  void aReplicatedEventIsKeptThoughTheOwnFeedIsBehind() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    RecordingPolicy policy =
        new RecordingPolicy(new RatioTestPolicy(configuration.settings().settings(1)));
    EndpointRegistry registry = newRegistry(policy, configuration);
    registry.onEvents(EVENT.formatted(1, true, 0, "ready"));
    Duration lastFeedRead = registry.lastFeedReadAt();
    String drain =
        "{\"n\":2,\"members\":{\"full\":false,\"servers\":[{\"id\":\"s-0\",\"state\":\"draining\"}]}}";
    assertThat(registry.applyReplicatedEvent(3, drain.replace("2", "3")))
        .as("not the next one")
        .isFalse();
    for (String other :
        List.of(
            drain.replace("{\"n\":2", "{\"n\":3"),
            drain + "," + drain.replace("2", "3"),
            drain + "],\"n\":9,\"events\":[",
            "{}",
            "nonsense")) {
      assertThatThrownBy(() -> registry.applyReplicatedEvent(2, other))
          .as(other)
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThat(registry.lastEventNumber()).isEqualTo(1);
    assertThat(registry.applyReplicatedEvent(2, drain)).isTrue();
    assertThat(policy.last.get(0).availability).isEqualTo(Cache.Availability.DRAINING);
    assertThat(registry.lastFeedReadAt()).isEqualTo(lastFeedRead);
    registry.onEvents("{\"n\":1,\"events\":[]}");
    assertThat(registry.lastEventNumber()).isEqualTo(2);
    registry.onEvents("{\"n\":2,\"events\":[" + drain.replace("draining", "ready") + "]}");
    assertThat(policy.last.get(0).availability).isEqualTo(Cache.Availability.DRAINING);
    assertThatThrownBy(() -> registry.onEvents("{\"n\":1,\"events\":[]}"))
        .hasMessageContaining("went back");
  }
}
