package tamarindroute.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Profile.Repeat;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Settings;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.host.Config;
import tamarindroute.policy.Brain;

/**
 * Each value of a whole configuration in turn taken out, or made absurd: one line that names it, or
 * settings that a module works by.
 */
class SettingsCheckTest {

  private static final List<String> ABSURD =
      List.of(
          "-1",
          "0",
          "1e300",
          "-1e300",
          "1e18",
          "0.5",
          "NaN",
          "Infinity",
          "\"x\"",
          "\"\"",
          "\"-\"",
          "[]",
          "{}",
          "[7,8]",
          "[{}]",
          "{\"x\":1}",
          "true",
          "null");

  @TempDir Path folder;

  private static JsonObject whole() throws Exception {
    return JsonParser.parseString(Files.readString(Path.of("example/config.json")))
        .getAsJsonObject();
  }

  /**
   * The paths of all that is told, objects and lists as well as what is in them; but not of the
   * list of caches.
   */
  static List<String> paths() throws Exception {
    List<String> paths = new ArrayList<>();
    JsonObject whole = whole();
    whole.remove("known");
    walk("", whole, paths);
    assertThat(paths)
        .contains(
            "listen",
            "limits/sockets",
            "settings/Classes/2/DeadlineNs",
            "settings/FamilyInfo/HubOf/1");
    return paths;
  }

  private static void walk(String path, JsonElement at, List<String> paths) {
    if (!path.isEmpty()) {
      paths.add(path.substring(1));
    }
    if (at.isJsonObject()) {
      at.getAsJsonObject()
          .entrySet()
          .forEach(e -> walk(path + "/" + e.getKey(), e.getValue(), paths));
    } else if (at.isJsonArray()) {
      for (int i = 0; i < at.getAsJsonArray().size(); i++) {
        walk(path + "/" + i, at.getAsJsonArray().get(i), paths);
      }
    }
  }

  /** The whole configuration with one value in another's place; none where it is taken out. */
  private static JsonObject with(String path, String value) throws Exception {
    JsonObject whole = whole();
    String[] steps = path.split("/");
    JsonElement at = whole;
    for (int i = 0; i + 1 < steps.length; i++) {
      at =
          at.isJsonArray()
              ? at.getAsJsonArray().get(Integer.parseInt(steps[i]))
              : at.getAsJsonObject().get(steps[i]);
    }
    String last = steps[steps.length - 1];
    if (at instanceof JsonArray list) {
      if (value == null) {
        list.remove(Integer.parseInt(last));
      } else {
        list.set(Integer.parseInt(last), JsonParser.parseString(value));
      }
    } else if (value == null) {
      at.getAsJsonObject().remove(last);
    } else {
      at.getAsJsonObject().add(last, JsonParser.parseString(value));
    }
    return whole;
  }

  private Config read(Object text) throws Exception {
    return Config.read(
        Files.writeString(folder.resolve("config.json"), text.toString()).toString());
  }

  @ParameterizedTest
  @MethodSource("paths")
  void aValueThatIsMissingOrAbsurdIsNamedOrHarmless(String path) throws Exception {
    List<String> values = new ArrayList<>(ABSURD);
    values.add(null);
    for (String value : values) {
      Config config;
      try {
        config = read(with(path, value));
      } catch (MalformedSettingsException e) {
        String[] steps = path.split("/");
        String key =
            steps[steps.length - 1].matches("\\d+") && steps.length > 1
                ? steps[steps.length - 2]
                : steps[steps.length - 1];
        assertThat(e.getMessage())
            .as(path + " = " + value)
            .contains(key)
            .doesNotContain("\n")
            .hasSizeLessThan(400);
        continue;
      }
      works(config, path + " = " + value);
    }
  }

  /** What a gateway takes from it makes sense, and a module lives through its first views by it. */
  private static void works(Config config, String what) throws Exception {
    SettingsReader reader = config.settings();
    Settings settings = reader.settings(config.seed());
    assertThat(config.listen().isUnresolved() || config.feed().isUnresolved()).as(what).isFalse();
    assertThat(config.memory()).as(what).isPositive();
    assertThat(config.descriptors()).as(what).isPositive();
    assertThat(reader.longestCutOff()).as(what).isPositive().isLessThan(Duration.ofDays(3651));
    assertThat(reader.connectWithin()).as(what).isPositive();
    assertThat(reader.keepIdle().isNegative()).as(what).isFalse();
    assertThat(
            List.of(
                reader.mostInHand(),
                reader.mostOnConnection(),
                settings.mostTrips(),
                settings.gateways(),
                settings.gatewaysInZone()))
        .as(what)
        .allMatch(n -> n >= 1);
    assertThat(settings.zone()).as(what).isBetween(0, reader.zones().size() - 1);
    assertThat(settings.purgeDone().isNegative()).as(what).isFalse();
    for (Settings.ColdStart start : List.of(settings.edgeStart(), settings.parentStart())) {
      assertThat(start.from()).as(what).isBetween(0.0, 1.0);
      assertThat(start.multiple()).as(what).isPositive();
      assertThat(start.window()).as(what).isPositive();
      assertThat(start.warmAfter().isNegative()).as(what).isFalse();
    }
    assertThat(settings.longestComeBack() == null || !settings.longestComeBack().isNegative())
        .as(what)
        .isTrue();
    assertThat(reader.profilesByName()).as(what).isNotEmpty();
    Brain brain = new Brain(settings);
    List<Cache> caches = new ArrayList<>();
    for (Cache.Tier tier :
        List.of(Cache.Tier.EDGE, Cache.Tier.EDGE, Cache.Tier.PARENT, Cache.Tier.ORIGIN)) {
      Cache cache = new Cache(caches.size());
      cache.tier = tier;
      cache.zone = tier == Cache.Tier.EDGE ? settings.zone() : 0;
      caches.add(cache);
    }
    Duration now = Duration.ofSeconds(10);
    caches.get(0).upSince = Duration.ofSeconds(9);
    brain.listed(caches, now);
    brain.purged(new Purge(3L, -1, now), now);
    int trips = 0;
    for (Profile profile : reader.profilesByName().values()) {
      assertThat(profile.window().isNegative() || profile.fresh().isNegative()).as(what).isFalse();
      assertThat(profile.agreedTime()).as(what).isPositive();
      assertThat(profile.stretch()).as(what).isBetween(0.0, 1e12);
      for (int i = 0; i < 20; i++) {
        View view = new View(profile, i, 0, 1, 100, now, now.plusSeconds(2));
        Answer answer = brain.place(view, now);
        while (answer instanceof Trip trip) {
          trips++;
          trip.sent = now;
          view.trips.add(trip);
          trip.outcome =
              new Outcome(
                  Outcome.Result.TURNED_AWAY,
                  Outcome.Detail.UNTOLD,
                  Duration.ofMillis(1),
                  null,
                  false);
          answer = brain.after(view, trip, now);
        }
        assertThat(answer).as(what).isNotNull();
        assertThat(view.trips.size()).as(what).isLessThanOrEqualTo(settings.mostTrips());
      }
    }
    assertThat(trips).as(what).isPositive();
  }

  /** Values that once ended in a stack trace, a process that hung, or a rule that bound nobody. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "settings/Zone | -1 | Zone is -1",
        "settings/Zone | 2 | Zone is 2",
        "settings/FamilyInfo/HubOf | [-1,0] | HubOf is -1",
        "settings/Classes/0/DeadlineNs | 0 | Classes.0.DeadlineNs is 0",
        "settings/Classes/1/WindowNs | -1 | Classes.1.WindowNs is -1",
        "settings/Obligations/ColdNs | -5 | ColdNs is -5",
        "settings/FamilyInfo/PaceKbPerS | NaN | PaceKbPerS is no number: NaN",
        "settings/Zones | [] | no Zones",
        "settings/Zones | [\"a b\",\"a,b\"] | Zones holds a_b twice",
        "settings/Classes | [] | no Classes",
        "settings/Classes | {\"count\":1e9} | Classes.count is 1e9",
        "listen | \"gateway.example:7000\" | listen is gateway.example:7000",
        "listen | \"127.0.0.1:-1\" | listen is",
        "feed | \"127.0.0.1:0\" | feed is",
        "feed | \"127.0.0.1:70000\" | feed is",
        "feed | \"300.0.0.1:7\" | feed is",
        "feed | {} | feed is no plain value",
        "limits | 7 | limits is no object",
        "limits/sockets | [] | limits.sockets is no plain value",
        "settings | [] | settings is no object",
        "settings/FamilyInfo/NeverKept | [false] | NeverKept holds 1 of 3"
      })
  void whatIsRefusedIsNamedWithItsValue(String path, String value, String told) throws Exception {
    JsonObject odd = with(path, value);
    assertThatThrownBy(() -> read(odd))
        .isInstanceOf(MalformedSettingsException.class)
        .hasMessageContaining(told);
  }

  @Test
  void whatIsAbsentIsAsStatedAndUnknownWordsAreTheCarefulSide() throws Exception {
    assertThat(read(with("settings/Limits/ConnectTimeoutNs", null)).settings().connectWithin())
        .isEqualTo(Duration.ofMillis(400));
    assertThat(
            read(with("settings/FamilyInfo/GoneEverywhereNs", null))
                .settings()
                .settings(1)
                .purgeDone())
        .isEqualTo(Duration.ofSeconds(60));
    assertThat(
            read(with("settings/Obligations/FallNs", null))
                .settings()
                .settings(1)
                .edgeStart()
                .window())
        .isEqualTo(Duration.ofSeconds(1));
    assertThat(
            read(with("settings/Limits/MaxRetryAfterNs", null))
                .settings()
                .settings(1)
                .longestComeBack())
        .isNull();
    assertThat(read(with("settings/FamilyInfo/NeverKept", null)).settings().profiles())
        .extracting(Profile::kept)
        .containsExactly(true, false, false);
    assertThat(
            read(with("settings/Classes/0/Semantics", "\"later\""))
                .settings()
                .profiles()
                .get(0)
                .repeat())
        .isEqualTo(Repeat.AT_MOST_ONCE);
    assertThat(
            read(with("settings/Classes/1/Group", "\"hall\"")).settings().profiles().get(1).group())
        .isEqualTo(Profile.Group.CELL);
    assertThat(
            read(with("settings/FamilyInfo/Neighbours", "\"hall\""))
                .settings()
                .settings(1)
                .siblings())
        .isFalse();
    assertThat(
            read(with("settings/FamilyInfo/Neighbours", "\"any\""))
                .settings()
                .settings(1)
                .siblings())
        .isTrue();
    assertThat(
            read(with("settings/FamilyInfo/Says", "\"much\""))
                .settings()
                .settings(1)
                .tellsSources())
        .isFalse();
    assertThat(read(with("settings/Classes/0/Semantics", "\"later\"")).settings().check())
        .containsExactly("Classes.0.Semantics is later, which is unknown: counts as side_effect");
  }

  @Test
  void twoClassesOfOnePlainNameCountAsTheMoreCarefulOfThem() throws Exception {
    JsonObject two = with("settings/Classes/2/Name", "\"a b\"");
    two.getAsJsonObject("settings")
        .getAsJsonArray("Classes")
        .get(0)
        .getAsJsonObject()
        .addProperty("Name", "a,b");
    SettingsReader reader = read(two).settings();
    assertThat(reader.profilesByName()).containsOnlyKeys("a_b", "pick");
    assertThat(reader.profilesByName().get("a_b").repeat()).isEqualTo(Repeat.AT_MOST_ONCE);
    assertThat(reader.profilesByName().get("a_b").kept()).isFalse();
    assertThat(reader.profilesByName().get("a_b").agreedTime()).isEqualTo(Duration.ofMillis(600));
    assertThat(reader.check()).hasSize(1).first().asString().contains("Classes.2.Name is a_b");
  }

  @Test
  void hundredsOfClassesWithOddNamesAreKnownEachByItsOwn() throws Exception {
    JsonObject many = whole();
    JsonObject settings = many.getAsJsonObject("settings");
    JsonObject one = settings.getAsJsonArray("Classes").get(0).getAsJsonObject();
    List<String> odd =
        List.of(
            "rid",
            "lane",
            "a=b",
            "-",
            "ACK",
            "x\ty",
            "\u00e4\u20ac",
            "\"q\"",
            "*4",
            "$0",
            "a|b",
            "0");
    JsonArray classes = new JsonArray();
    JsonArray never = new JsonArray();
    JsonArray ages = new JsonArray();
    for (int i = 0; i < 700; i++) {
      JsonObject next = one.deepCopy();
      next.addProperty("Name", i < odd.size() ? odd.get(i) : "class " + i);
      next.addProperty("GoalTimeNs", 1_000_000_000L + i);
      classes.add(next);
      never.add(i % 2 == 1);
      ages.add(i * 1_000_000_000L);
    }
    settings.add("Classes", classes);
    settings.getAsJsonObject("FamilyInfo").add("NeverKept", never);
    settings.getAsJsonObject("FamilyInfo").add("MaxAgeNs", ages);
    SettingsReader reader = read(many).settings();
    assertThat(reader.check()).isEmpty();
    assertThat(reader.profilesByName())
        .hasSize(700)
        .containsKeys("rid", "a=b", "\u00e4\u20ac", "class_699");
    assertThat(reader.profilesByName().get("class_699").agreedTime())
        .isEqualTo(Duration.ofNanos(1_000_000_699L));
    assertThat(reader.profilesByName().get("class_699").kept()).isFalse();
    assertThat(reader.profilesByName().get("lane").fresh()).isEqualTo(Duration.ofSeconds(1));
    works(read(many), "many classes");
  }

  /** The list of the start ends nothing: the feed tells it too. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "[]",
        "7",
        "\"x\"",
        "null",
        "{}",
        "{\"n\":1e300,\"events\":[]}",
        "{\"n\":1,\"events\":{}}"
      })
  void aListOfTheStartOfAnotherFormEndsNothing(String known) throws Exception {
    assertThat(read(with("known", known)).known())
        .isIn("", JsonParser.parseString(known).toString());
  }
}
