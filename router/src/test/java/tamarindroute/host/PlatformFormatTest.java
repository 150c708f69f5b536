package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Purge;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.net.CacheConnectionPool;

/**
 * The platform's formats, written as literals: configuration file, control feed events, and load
 * reports.
 */
class PlatformFormatTest {

  @TempDir Path folder;

  private final EventLoop eventLoop = new EventLoop();
  private final List<Purge> purges = new ArrayList<>();

  @Test
  void theConfigurationFileKeepsItsFormat() throws Exception {
    PlatformConfiguration configuration = PlatformConfiguration.read("example/config.json");
    assertThat(configuration.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 7000));
    assertThat(configuration.feed()).isEqualTo(new InetSocketAddress("127.0.0.1", 7001));
    assertThat(configuration.seed()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(configuration.memoryBytes()).isEqualTo(192L * 1024 * 1024);
    assertThat(configuration.descriptorLimit()).isEqualTo(1024);
    assertThat(configuration.bootstrapEvents())
        .startsWith(
            "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,"
                + "\"servers\":[{\"id\":\"s-0000000a\",\"addr\":\"127.0.0.1:7011\",\"zone\":\"shed\",");
    assertThat(configuration.settings().zones()).containsExactly("hub", "shed");
    assertThat(configuration.settings().kinds()).containsExactly("edge", "parent", "origin");
    assertThat(configuration.settings().settings(1).zone()).isEqualTo(1);
    assertThat(configuration.settings().settings(1).hubByZone()).containsExactly(0, 0);
  }

  @Test
  void aSeedThatIsNoHexadecimalNumberIsTheChecksumOfItsText() throws Exception {
    assertThat(readWith("8c1f30d27a5be964", "not hex").seed()).isEqualTo(330_776_588L);
  }

  @Test
  void changedSectionsAreNamedByTheFilesKeys() throws Exception {
    PlatformConfiguration configuration = PlatformConfiguration.read("example/config.json");
    assertThat(configuration.changedRestartOnlySections(readWith("127.0.0.1:7000", "[::1]:0")))
        .containsExactly("listen");
    assertThat(
            configuration.changedRestartOnlySections(
                readWith("\"sockets\": 1024", "\"sockets\": 512")))
        .containsExactly("limits");
    assertThat(
            configuration.changedRestartOnlySections(
                readWith("\"TryLimit\": 8", "\"TryLimit\": 7")))
        .containsExactly("settings");
    assertThat(
            configuration.changedRestartOnlySections(readWith("127.0.0.1:7001", "127.0.0.1:7002")))
        .isEmpty();
  }

  private PlatformConfiguration readWith(String old, String now) throws IOException {
    String text = Files.readString(Path.of("example/config.json"));
    assertThat(text).contains(old);
    return PlatformConfiguration.read(
        Files.writeString(folder.resolve("config.json"), text.replace(old, now)).toString());
  }

  @Test
  void feedEventsKeepTheirFormat() throws Exception {
    EndpointRegistry endpoints = newRegistry();
    Duration before = eventLoop.now();
    endpoints.onEvents(
        "{\"n\":3,\"events\":["
            + "{\"n\":1,\"members\":{\"version\":1,\"full\":true,\"servers\":["
            + "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:7011\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":2,"
            + "\"state\":\"ready\",\"weight\":40.5,\"started_ms\":0},"
            + "{\"id\":\"s-2\",\"addr\":\"127.0.0.1:7012\",\"zone\":\"hub\",\"kind\":\"parent\","
            + "\"state\":\"draining\","
            + "\"started_ms\":"
            + (System.currentTimeMillis() - 60_000)
            + "},"
            + "{\"id\":\"s-3\",\"addr\":\"127.0.0.1:7013\",\"kind\":\"origin\",\"state\":\"ready\"},"
            + "{\"id\":\"s-4\",\"addr\":\"127.0.0.1:7014\",\"state\":\"gone\"}]}},"
            + "{\"n\":2,\"purge\":{\"key\":\"8c1f30d27a5be964\",\"at\":"
            + (System.currentTimeMillis() - 5_000)
            + "}},"
            + "{\"n\":3,\"purge\":{\"group\":17,\"at\":0}}]}");
    assertThat(endpoints.lastEventNumber()).isEqualTo(3);
    assertThat(endpoints.caches())
        .extracting(endpoints::id)
        .containsExactlyInAnyOrder("s-1", "s-2", "s-3");
    Cache edge = cache(endpoints, "s-1");
    assertThat(edge.tier).isEqualTo(Cache.Tier.EDGE);
    assertThat(edge.availability).isEqualTo(Cache.Availability.READY);
    assertThat(edge.zone).isEqualTo(1);
    assertThat(edge.cell).isEqualTo(2);
    assertThat(edge.weight).isEqualTo(40.5);
    assertThat(edge.startedAt).isNull();
    assertThat(edge.stableId).isEqualTo(0xd80255ceL);
    assertThat(endpoints.address(edge)).isEqualTo(new InetSocketAddress("127.0.0.1", 7011));
    Cache parent = cache(endpoints, "s-2");
    assertThat(parent.tier).isEqualTo(Cache.Tier.PARENT);
    assertThat(parent.availability).isEqualTo(Cache.Availability.DRAINING);
    assertThat(parent.startedAt).isBetween(before.minusSeconds(61), before.minusSeconds(59));
    assertThat(cache(endpoints, "s-3").tier).isEqualTo(Cache.Tier.ORIGIN);
    assertThat(purges).hasSize(2);
    assertThat(purges.get(0).objectId()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(purges.get(0).group()).isEqualTo(-1);
    assertThat(purges.get(0).issuedAt()).isBetween(before.minusSeconds(6), before.minusSeconds(4));
    assertThat(purges.get(1).objectId()).isNull();
    assertThat(purges.get(1).group()).isEqualTo(17);
    endpoints.onEvents(
        "{\"n\":4,\"events\":[{\"n\":4,\"members\":{\"full\":false,\"servers\":["
            + "{\"id\":\"s-1\",\"state\":\"gone\"}]}}]}");
    assertThat(endpoints.caches())
        .extracting(endpoints::id)
        .containsExactlyInAnyOrder("s-2", "s-3");
  }

  private static Cache cache(EndpointRegistry endpoints, String id) {
    return endpoints.caches().stream()
        .filter(cache -> endpoints.id(cache).equals(id))
        .findFirst()
        .orElseThrow();
  }

  private EndpointRegistry newRegistry() throws Exception {
    RoutingPolicy policy =
        (RoutingPolicy)
            Proxy.newProxyInstance(
                RoutingPolicy.class.getClassLoader(),
                new Class<?>[] {RoutingPolicy.class},
                (proxy, method, arguments) -> {
                  if (arguments[0] instanceof Purge purge) {
                    purges.add(purge);
                  }
                  return null;
                });
    return new EndpointRegistry(
        PlatformConfiguration.read("example/config.json").settings(),
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
}
