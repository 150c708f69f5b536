package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Purge;
import tamarindroute.net.CacheLine;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;

/**
 * The platform's formats word by word: the configuration file, the control feed's events, a cache's
 * load report.
 */
class PlatformFormatTest {

  @TempDir Path folder;

  private final Clock clock = new Clock();
  private final List<Purge> purges = new ArrayList<>();

  @Test
  void theConfigurationFileKeepsItsWords() throws Exception {
    Config config = Config.read("example/config.json");
    assertThat(config.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 7000));
    assertThat(config.feed()).isEqualTo(new InetSocketAddress("127.0.0.1", 7001));
    assertThat(config.seed()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(config.memory()).isEqualTo(192L * 1024 * 1024);
    assertThat(config.descriptors()).isEqualTo(1024);
    assertThat(config.known())
        .startsWith(
            "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,"
                + "\"servers\":[{\"id\":\"s-0000000a\",\"addr\":\"127.0.0.1:7011\",\"zone\":\"shed\",");
    assertThat(config.settings().zones()).containsExactly("hub", "shed");
    assertThat(config.settings().kinds()).containsExactly("edge", "parent", "origin");
    assertThat(config.settings().settings(1).zone()).isEqualTo(1);
    assertThat(config.settings().settings(1).hubOf()).containsExactly(0, 0);
  }

  @Test
  void aSeedThatIsNoHexadecimalNumberIsTheChecksumOfItsText() throws Exception {
    assertThat(config("8c1f30d27a5be964", "not hex").seed()).isEqualTo(330_776_588L);
  }

  @Test
  void whatDiffersIsNamedByTheFilesWords() throws Exception {
    Config config = Config.read("example/config.json");
    assertThat(config.differsIn(config("127.0.0.1:7000", "[::1]:0"))).containsExactly("listen");
    assertThat(config.differsIn(config("\"sockets\": 1024", "\"sockets\": 512")))
        .containsExactly("limits");
    assertThat(config.differsIn(config("\"TryLimit\": 8", "\"TryLimit\": 7")))
        .containsExactly("settings");
    assertThat(config.differsIn(config("127.0.0.1:7001", "127.0.0.1:7002"))).isEmpty();
  }

  private Config config(String old, String now) throws IOException {
    String text = Files.readString(Path.of("example/config.json"));
    assertThat(text).contains(old);
    return Config.read(
        Files.writeString(folder.resolve("config.json"), text.replace(old, now)).toString());
  }

  @Test
  void theFeedsEventsKeepTheirWords() throws Exception {
    Roster roster = roster();
    Duration before = clock.now();
    roster.read(
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
    assertThat(roster.last()).isEqualTo(3);
    assertThat(roster.caches())
        .extracting(roster::id)
        .containsExactlyInAnyOrder("s-1", "s-2", "s-3");
    Cache edge = cache(roster, "s-1");
    assertThat(edge.tier).isEqualTo(Cache.Tier.EDGE);
    assertThat(edge.standing).isEqualTo(Cache.Standing.READY);
    assertThat(edge.zone).isEqualTo(1);
    assertThat(edge.cell).isEqualTo(2);
    assertThat(edge.weight).isEqualTo(40.5);
    assertThat(edge.upSince).isNull();
    assertThat(edge.mark).isEqualTo(0xd80255ceL);
    assertThat(roster.address(edge)).isEqualTo(new InetSocketAddress("127.0.0.1", 7011));
    Cache parent = cache(roster, "s-2");
    assertThat(parent.tier).isEqualTo(Cache.Tier.PARENT);
    assertThat(parent.standing).isEqualTo(Cache.Standing.DRAINING);
    assertThat(parent.upSince).isBetween(before.minusSeconds(61), before.minusSeconds(59));
    assertThat(cache(roster, "s-3").tier).isEqualTo(Cache.Tier.ORIGIN);
    assertThat(purges).hasSize(2);
    assertThat(purges.get(0).object()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(purges.get(0).group()).isEqualTo(-1);
    assertThat(purges.get(0).made()).isBetween(before.minusSeconds(6), before.minusSeconds(4));
    assertThat(purges.get(1).object()).isNull();
    assertThat(purges.get(1).group()).isEqualTo(17);
    roster.read(
        "{\"n\":4,\"events\":[{\"n\":4,\"members\":{\"full\":false,\"servers\":["
            + "{\"id\":\"s-1\",\"state\":\"gone\"}]}}]}");
    assertThat(roster.caches()).extracting(roster::id).containsExactlyInAnyOrder("s-2", "s-3");
  }

  private static Cache cache(Roster roster, String id) {
    return roster.caches().stream()
        .filter(cache -> roster.id(cache).equals(id))
        .findFirst()
        .orElseThrow();
  }

  private Roster roster() throws Exception {
    Decisions policy =
        (Decisions)
            Proxy.newProxyInstance(
                Decisions.class.getClassLoader(),
                new Class<?>[] {Decisions.class},
                (proxy, method, arguments) -> {
                  if (arguments[0] instanceof Purge purge) {
                    purges.add(purge);
                  }
                  return null;
                });
    return new Roster(
        Config.read("example/config.json").settings(),
        List.of(policy),
        clock,
        (id, address) ->
            new CacheLine(
                null,
                clock,
                id,
                address,
                new CacheLine.Limits(4, 100, Duration.ofSeconds(1), Duration.ZERO)));
  }

  @Test
  void theLoadReportKeepsItsWords() throws Exception {
    assertThat(Report.load(Fields.read("first=3,rep=util:0.25;inflight:7")))
        .isEqualTo(new Load(0.25, 7));
    assertThat(Report.load(Fields.read("rep=utilization:2;outstanding:1e3")))
        .isEqualTo(new Load(2, 1000));
    assertThat(Report.load(Fields.read("rep=inflight:7"))).isEqualTo(new Load(Double.NaN, 7));
    assertThat(Report.load(Fields.read("rep=other:7"))).isNull();
    assertThat(Report.load(Fields.read("-"))).isNull();
    for (String odd :
        List.of("rep=util:101", "rep=util:-1", "rep=inflight:2e6", "rep=util", "rep=util:x")) {
      Fields fields = Fields.read(odd);
      assertThatThrownBy(() -> Report.load(fields)).as(odd).isInstanceOf(MalformedException.class);
    }
  }
}
