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
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Regard;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.net.CacheLine;
import tamarindroute.policy.Brain;
import tamarindroute.protocol.MalformedException;

/** The list over a long time, in which each cache is replaced by another. */
class RosterTest {

  private static final String EVENT =
      "{\"n\":%d,\"events\":[{\"n\":%1$d,\"members\":{\"version\":1,\"full\":%s,"
          + "\"servers\":[{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
          + "\"state\":\"%s\",\"weight\":40,\"started_ms\":0}]}}]}";

  /** Passes what it is told on, and keeps the last list. */
  private static final class Listening implements Decisions {

    private final Decisions brain;
    private List<Cache> last;

    Listening(Decisions brain) {
      this.brain = brain;
    }

    @Override
    public Answer place(View view, Duration now) {
      return null;
    }

    @Override
    public Answer after(View view, Trip trip, Duration now) {
      return null;
    }

    @Override
    public boolean mayStillGo(View view, Trip trip, Duration now) {
      return true;
    }

    @Override
    public Duration patience(View view, Duration now) {
      return null;
    }

    @Override
    public void listed(List<Cache> caches, Duration now) {
      last = List.copyOf(caches);
      brain.listed(caches, now);
    }

    @Override
    public void purged(Purge purge, Duration now) {}

    @Override
    public void loaded(Cache cache, Load load, Duration now) {}

    @Override
    public void dealt(Cache.Tier tier, double part, Duration until, Duration now) {}

    @Override
    public Regard regard(Cache cache, Duration now) {
      return brain.regard(cache, now);
    }

    @Override
    public List<Cache> homes(long object) {
      return brain.homes(object);
    }

    @Override
    public void probed(Cache cache, Outcome.Result result, Duration now) {}
  }

  @Test
  void aCacheThatIsGoneIsForgottenWhenNoTripNamesIt() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    roster.read(EVENT.formatted(1, true, 0, "ready"));
    Cache first = listening.last.get(0);
    Trip trip = new Trip(first, first, 1, null, false, false, null);
    WeakReference<Cache> told = null;
    for (int i = 1; i <= 50; i++) {
      roster.read(EVENT.formatted(3 * i - 1, false, i, "ready"));
      if (i == 25) {
        roster.out(trip, 1);
        told =
            new WeakReference<>(
                listening.last.stream().filter(cache -> cache != first).findFirst().orElseThrow());
      }
      roster.read(EVENT.formatted(3 * i, false, i, "draining"));
      roster.read(EVENT.formatted(3 * i + 1, false, i, "gone"));
      assertThat(listening.last)
          .hasSize(2)
          .extracting(cache -> cache.standing)
          .contains(Cache.Standing.GONE);
    }
    roster.read(EVENT.formatted(152, false, 0, "gone"));
    roster.read(EVENT.formatted(153, false, 51, "ready"));
    assertThat(listening.last).as("a trip is out").contains(first);
    roster.out(trip, -1);
    roster.read(EVENT.formatted(154, false, 52, "ready"));
    roster.read(EVENT.formatted(155, false, 53, "ready"));
    assertThat(listening.last).doesNotContain(first).hasSize(3);
    for (int i = 0; i < 50 && told.get() != null; i++) {
      System.gc();
      Thread.sleep(20);
    }
    assertThat(told.get()).as("the module's memory of it").isNull();
  }

  private static Roster roster(Listening listening, Config config) throws Exception {
    Clock clock = new Clock();
    return new Roster(
        config.settings(),
        List.of(listening),
        clock,
        (id, address) ->
            new CacheLine(
                null,
                clock,
                id,
                address,
                new CacheLine.Limits(4, 100, Duration.ofSeconds(1), Duration.ZERO)));
  }

  /** A text is looked through to its end before anything of it is taken. */
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
  void aTextThatIsNoEventsIsRefusedAndTheListHolds(String text) throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    roster.read(EVENT.formatted(1, true, 0, "ready"));
    String next = EVENT.formatted(2, true, 1, "ready");
    assertThatThrownBy(() -> roster.read(text)).isInstanceOf(MalformedException.class);
    for (int cut = 1; cut < next.length(); cut++) {
      String half = next.substring(0, cut);
      assertThatThrownBy(() -> roster.read(half)).as(half).isInstanceOf(MalformedException.class);
    }
    assertThatThrownBy(() -> roster.read(next + "}")).isInstanceOf(MalformedException.class);
    assertThat(roster.last()).isEqualTo(1);
    roster.read(next);
    assertThat(listening.last)
        .filteredOn(cache -> cache.standing == Cache.Standing.READY)
        .hasSize(1);
    assertThat(roster.caches()).hasSize(1);
  }

  @Test
  void whatCannotBeReadOfAnEventCostsThatEntryAlone() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    String good =
        "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"state\":\"ready\"}";
    roster.read(
        "{\"events\":[{\"members\":{\"servers\":[7,{},{\"id\":5},{\"id\":\"s-2\",\"state\":\"odd\"},{\"id\":\"s-3\","
            + "\"state\":\"ready\"},"
            + good
            + "],\"full\":true},\"n\":1},{\"n\":2,\"purge\":{}},{\"n\":3,\"purge\":[]},"
            + "{\"n\":4,\"members\":7},{\"n\":5,\"members\":{}},{\"n\":6,\"other\":{\"x\":[1]}}],\"n\":6}");
    assertThat(roster.last()).isEqualTo(6);
    assertThat(roster.caches()).hasSize(1);
    assertThat(roster.id(roster.caches().get(0))).isEqualTo("s-1");
  }

  /**
   * What a list can't mean of a weight or a time costs neither the entry nor the module's
   * reckoning.
   */
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
  void aWeightOrATimeThatCannotBeIsPassedOver(String odd) throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    String entry =
        "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"state\":\"ready\","
            + odd
            + "}";
    roster.read(
        "{\"n\":2,\"events\":[{\"n\":1,\"members\":{\"full\":true,\"servers\":["
            + entry
            + "]}},"
            + "{\"n\":2,\"purge\":{\"group\":7,\"at\":9223372036854775807}}]}");
    assertThat(roster.last()).isEqualTo(2);
    Cache cache = roster.caches().get(0);
    assertThat(cache.weight).isEqualTo(1);
    assertThat(cache.upSince == null || cache.upSince.compareTo(Duration.ofMinutes(1)) < 0)
        .isTrue();
  }

  /**
   * Each change of a long list costs its length and not its square: hundreds are replaced within
   * seconds.
   */
  @Test
  void changesOfALongListCostItsLength() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    String entry = EVENT.substring(EVENT.indexOf("{\"id\""), EVENT.indexOf("]}}]}"));
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 4096; i++) {
      all.append(i == 0 ? "" : ",")
          .append(entry.replace("%d", String.valueOf(i)).replace("%s", "ready"));
    }
    String whole = EVENT.formatted(1, true, 0, "ready");
    roster.read(
        whole.replace(whole.substring(whole.indexOf("{\"id\""), whole.indexOf("]}}]}")), all));
    assertThat(roster.caches()).hasSize(4096);
    long from = System.nanoTime();
    for (int i = 0; i < 200; i++) {
      roster.read(EVENT.formatted(2 + 2 * i, false, i, "gone"));
      roster.read(EVENT.formatted(3 + 2 * i, false, 5000 + i, "ready"));
    }
    // Measured on the build machine: 0.4 s, and 9.6 s with look-ups in lists; the bound leaves room
    // for a busy one.
    assertThat(Duration.ofNanos(System.nanoTime() - from)).isLessThan(Duration.ofSeconds(4));
    assertThat(roster.caches()).hasSize(4096);
  }

  /**
   * A gap that stays, in a feed that still has all before it: the drain behind it holds at the
   * third asking.
   */
  @Test
  void aGapThatStaysHidesNoDrainThoughAllBeforeItComesAnew() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    String first = EVENT.formatted(1, true, 0, "ready");
    String later =
        "{\"n\":4,\"members\":{\"full\":false,\"servers\":[{\"id\":\"s-0\",\"state\":\"draining\"}]}}";
    roster.read(first);
    for (int i = 0; i < 2; i++) {
      assertThat(roster.last()).isEqualTo(1);
      assertThatThrownBy(() -> roster.read("{\"n\":4,\"events\":[" + later + "]}"))
          .hasMessageContaining("missing");
    }
    assertThat(roster.last()).as("all is asked for").isZero();
    roster.read(
        first
            .replace("{\"n\":1,\"events\"", "{\"n\":4,\"events\"")
            .replace("}]}}]}", "}]}}," + later + "]}"));
    assertThat(roster.last()).isEqualTo(4);
    assertThat(listening.last.get(0).standing).isEqualTo(Cache.Standing.DRAINING);
  }

  /**
   * What another told counts once, in order; a feed of one's own that is late by it does not count
   * anew.
   */
  @Test
  void anEventThatAnotherToldIsKeptThoughTheOwnFeedIsBehind() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    Listening listening = new Listening(new Brain(config.settings().settings(1)));
    Roster roster = roster(listening, config);
    roster.read(EVENT.formatted(1, true, 0, "ready"));
    Duration heard = roster.heardAt();
    String drain =
        "{\"n\":2,\"members\":{\"full\":false,\"servers\":[{\"id\":\"s-0\",\"state\":\"draining\"}]}}";
    assertThat(roster.told(3, drain.replace("2", "3"))).as("not the next one").isFalse();
    for (String other :
        List.of(
            drain.replace("{\"n\":2", "{\"n\":3"),
            drain + "," + drain.replace("2", "3"),
            drain + "],\"n\":9,\"events\":[",
            "{}",
            "nonsense")) {
      assertThatThrownBy(() -> roster.told(2, other))
          .as(other)
          .isInstanceOf(MalformedException.class);
    }
    assertThat(roster.last()).isEqualTo(1);
    assertThat(roster.told(2, drain)).isTrue();
    assertThat(listening.last.get(0).standing).isEqualTo(Cache.Standing.DRAINING);
    assertThat(roster.heardAt()).isEqualTo(heard);
    roster.read("{\"n\":1,\"events\":[]}");
    assertThat(roster.last()).isEqualTo(2);
    roster.read("{\"n\":2,\"events\":[" + drain.replace("draining", "ready") + "]}");
    assertThat(listening.last.get(0).standing).isEqualTo(Cache.Standing.DRAINING);
    assertThatThrownBy(() -> roster.read("{\"n\":1,\"events\":[]}"))
        .hasMessageContaining("went back");
  }
}
