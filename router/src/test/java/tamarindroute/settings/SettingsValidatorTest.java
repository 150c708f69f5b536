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
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RequestClass.Idempotency;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.policy.RatioTestPolicy;

/**
 * Each value of a whole configuration in turn taken out, or made absurd: one line that names it, or
 * settings that a module works by.
 */
class SettingsValidatorTest {

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

  private static void walk(String path, JsonElement element, List<String> paths) {
    if (!path.isEmpty()) {
      paths.add(path.substring(1));
    }
    if (element.isJsonObject()) {
      element
          .getAsJsonObject()
          .entrySet()
          .forEach(e -> walk(path + "/" + e.getKey(), e.getValue(), paths));
    } else if (element.isJsonArray()) {
      for (int i = 0; i < element.getAsJsonArray().size(); i++) {
        walk(path + "/" + i, element.getAsJsonArray().get(i), paths);
      }
    }
  }

  /** The whole configuration with one value in another's place; none where it is taken out. */
  private static JsonObject with(String path, String value) throws Exception {
    JsonObject whole = whole();
    String[] steps = path.split("/");
    JsonElement element = whole;
    for (int i = 0; i + 1 < steps.length; i++) {
      element =
          element.isJsonArray()
              ? element.getAsJsonArray().get(Integer.parseInt(steps[i]))
              : element.getAsJsonObject().get(steps[i]);
    }
    String last = steps[steps.length - 1];
    if (element instanceof JsonArray list) {
      if (value == null) {
        list.remove(Integer.parseInt(last));
      } else {
        list.set(Integer.parseInt(last), JsonParser.parseString(value));
      }
    } else if (value == null) {
      element.getAsJsonObject().remove(last);
    } else {
      element.getAsJsonObject().add(last, JsonParser.parseString(value));
    }
    return whole;
  }

  private PlatformConfiguration read(Object text) throws Exception {
    return PlatformConfiguration.read(
        Files.writeString(folder.resolve("config.json"), text.toString()).toString());
  }

  @ParameterizedTest
  @MethodSource("paths")
  void missingOrAbsurdValueIsNamedOrHarmless(String path) throws Exception {
    List<String> values = new ArrayList<>(ABSURD);
    values.add(null);
    for (String value : values) {
      PlatformConfiguration configuration;
      try {
        configuration = read(with(path, value));
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
      assertWorks(configuration, path + " = " + value);
    }
  }

  /** What a gateway takes from it makes sense, and a module lives through its first views by it. */
  private static void assertWorks(PlatformConfiguration configuration, String description)
      throws Exception {
    SettingsReader reader = configuration.settings();
    PolicySettings settings = reader.settings(configuration.seed());
    assertThat(configuration.listen().isUnresolved() || configuration.feed().isUnresolved())
        .as(description)
        .isFalse();
    assertThat(configuration.memoryBytes()).as(description).isPositive();
    assertThat(configuration.descriptorLimit()).as(description).isPositive();
    assertThat(reader.longestDeadline())
        .as(description)
        .isPositive()
        .isLessThan(Duration.ofDays(3651));
    assertThat(reader.connectTimeout()).as(description).isPositive();
    assertThat(reader.keepAlive().isNegative()).as(description).isFalse();
    assertThat(
            List.of(
                reader.maxInFlight(),
                reader.maxRequestsPerConnection(),
                settings.maxAttempts(),
                settings.gatewayCount(),
                settings.zoneGatewayCount()))
        .as(description)
        .allMatch(n -> n >= 1);
    assertThat(settings.zone()).as(description).isBetween(0, reader.zones().size() - 1);
    assertThat(settings.purgePropagationTime().isNegative()).as(description).isFalse();
    for (PolicySettings.ColdStart start :
        List.of(settings.edgeColdStart(), settings.parentColdStart())) {
      assertThat(start.initialCapacity()).as(description).isBetween(0.0, 1.0);
      assertThat(start.overloadMultiple()).as(description).isPositive();
      assertThat(start.overloadWindow()).as(description).isPositive();
      assertThat(start.warmAfter().isNegative()).as(description).isFalse();
    }
    assertThat(settings.maxRetryAfter() == null || !settings.maxRetryAfter().isNegative())
        .as(description)
        .isTrue();
    assertThat(reader.requestClassesByName()).as(description).isNotEmpty();
    RatioTestPolicy policy = new RatioTestPolicy(settings);
    List<Cache> caches = new ArrayList<>();
    for (Cache.Tier tier :
        List.of(Cache.Tier.EDGE, Cache.Tier.EDGE, Cache.Tier.PARENT, Cache.Tier.ORIGIN)) {
      Cache cache = new Cache(caches.size());
      cache.tier = tier;
      cache.zone = tier == Cache.Tier.EDGE ? settings.zone() : 0;
      caches.add(cache);
    }
    Duration now = Duration.ofSeconds(10);
    caches.get(0).startedAt = Duration.ofSeconds(9);
    policy.onEndpoints(caches, now);
    policy.onPurge(new Purge(3L, -1, now), now);
    int attempts = 0;
    for (RequestClass requestClass : reader.requestClassesByName().values()) {
      assertThat(
              requestClass.deduplicationWindow().isNegative() || requestClass.maxAge().isNegative())
          .as(description)
          .isFalse();
      assertThat(requestClass.latencyObjective()).as(description).isPositive();
      assertThat(requestClass.transferTimeFactor()).as(description).isBetween(0.0, 1e12);
      for (int i = 0; i < 20; i++) {
        Request request = new Request(requestClass, i, 0, 1, 100, now, now.plusSeconds(2));
        Decision decision = policy.route(request, now);
        while (decision instanceof Attempt attempt) {
          attempts++;
          attempt.sentAt = now;
          request.attempts.add(attempt);
          attempt.outcome =
              new Outcome(
                  Outcome.Result.REJECTED,
                  Outcome.Detail.UNKNOWN,
                  Duration.ofMillis(1),
                  null,
                  false);
          decision = policy.onOutcome(request, attempt, now);
        }
        assertThat(decision).as(description).isNotNull();
        assertThat(request.attempts.size())
            .as(description)
            .isLessThanOrEqualTo(settings.maxAttempts());
      }
    }
    assertThat(attempts).as(description).isPositive();
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
        "settings/FamilyInfo/PaceKbPerS | NaN | PaceKbPerS is NaN, allowed: a number",
        "settings/Zones | [] | Zones is missing",
        "settings/Zones | [\"a b\",\"a,b\"] | Zones holds a_b twice",
        "settings/Classes | [] | Classes is missing",
        "settings/Classes | {\"count\":1e9} | Classes.count is 1e9",
        "listen | \"gateway.example:7000\" | listen is gateway.example:7000",
        "listen | \"127.0.0.1:-1\" | listen is",
        "feed | \"127.0.0.1:0\" | feed is",
        "feed | \"127.0.0.1:70000\" | feed is",
        "feed | \"300.0.0.1:7\" | feed is",
        "feed | {} | feed is not a plain value",
        "limits | 7 | limits is not an object",
        "limits/sockets | [] | limits.sockets is not a plain value",
        "settings | [] | settings is not an object",
        "settings/FamilyInfo/NeverKept | [false] | NeverKept holds 1 of 3"
      })
  void invalidValueIsNamedWithItsValue(String path, String value, String expectedMessage)
      throws Exception {
    JsonObject odd = with(path, value);
    assertThatThrownBy(() -> read(odd))
        .isInstanceOf(MalformedSettingsException.class)
        .hasMessageContaining(expectedMessage);
  }

  @Test
  void absentValuesHaveDefaultsAndUnknownKeywordsTheStrictestMeaning() throws Exception {
    assertThat(read(with("settings/Limits/ConnectTimeoutNs", null)).settings().connectTimeout())
        .isEqualTo(Duration.ofMillis(400));
    assertThat(
            read(with("settings/FamilyInfo/GoneEverywhereNs", null))
                .settings()
                .settings(1)
                .purgePropagationTime())
        .isEqualTo(Duration.ofSeconds(60));
    assertThat(
            read(with("settings/Obligations/FallNs", null))
                .settings()
                .settings(1)
                .edgeColdStart()
                .overloadWindow())
        .isEqualTo(Duration.ofSeconds(1));
    assertThat(
            read(with("settings/Limits/MaxRetryAfterNs", null))
                .settings()
                .settings(1)
                .maxRetryAfter())
        .isNull();
    assertThat(read(with("settings/FamilyInfo/NeverKept", null)).settings().requestClasses())
        .extracting(RequestClass::cacheable)
        .containsExactly(true, false, false);
    assertThat(
            read(with("settings/Classes/0/Semantics", "\"later\""))
                .settings()
                .requestClasses()
                .get(0)
                .idempotency())
        .isEqualTo(Idempotency.NON_IDEMPOTENT);
    assertThat(
            read(with("settings/Classes/1/Group", "\"hall\""))
                .settings()
                .requestClasses()
                .get(1)
                .deduplicationScope())
        .isEqualTo(RequestClass.DeduplicationScope.CELL);
    assertThat(
            read(with("settings/FamilyInfo/Neighbours", "\"hall\""))
                .settings()
                .settings(1)
                .siblingFillAllowed())
        .isFalse();
    assertThat(
            read(with("settings/FamilyInfo/Neighbours", "\"any\""))
                .settings()
                .settings(1)
                .siblingFillAllowed())
        .isTrue();
    assertThat(
            read(with("settings/FamilyInfo/Says", "\"much\""))
                .settings()
                .settings(1)
                .reportsFillSource())
        .isFalse();
    assertThat(read(with("settings/Classes/0/Semantics", "\"later\"")).settings().validate())
        .containsExactly("Classes.0.Semantics is later, which is unknown: counts as side_effect");
  }

  @Test
  void classesOfEqualNormalizedNameTakeTheStrictestOfBoth() throws Exception {
    JsonObject two = with("settings/Classes/2/Name", "\"a b\"");
    two.getAsJsonObject("settings")
        .getAsJsonArray("Classes")
        .get(0)
        .getAsJsonObject()
        .addProperty("Name", "a,b");
    SettingsReader reader = read(two).settings();
    assertThat(reader.requestClassesByName()).containsOnlyKeys("a_b", "pick");
    assertThat(reader.requestClassesByName().get("a_b").idempotency())
        .isEqualTo(Idempotency.NON_IDEMPOTENT);
    assertThat(reader.requestClassesByName().get("a_b").cacheable()).isFalse();
    assertThat(reader.requestClassesByName().get("a_b").latencyObjective())
        .isEqualTo(Duration.ofMillis(600));
    assertThat(reader.validate()).hasSize(1).first().asString().contains("Classes.2.Name is a_b");
  }

  @Test
  void hundredsOfClassesWithUnusualNamesStayDistinct() throws Exception {
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
    assertThat(reader.validate()).isEmpty();
    assertThat(reader.requestClassesByName())
        .hasSize(700)
        .containsKeys("rid", "a=b", "\u00e4\u20ac", "class_699");
    assertThat(reader.requestClassesByName().get("class_699").latencyObjective())
        .isEqualTo(Duration.ofNanos(1_000_000_699L));
    assertThat(reader.requestClassesByName().get("class_699").cacheable()).isFalse();
    assertThat(reader.requestClassesByName().get("lane").maxAge()).isEqualTo(Duration.ofSeconds(1));
    assertWorks(read(many), "many classes");
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
  void malformedInitialListIsNoError(String known) throws Exception {
    assertThat(read(with("known", known)).bootstrapEvents())
        .isIn("", JsonParser.parseString(known).toString());
  }
}
