package tamarindroute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RequestClass.Idempotency;

/** Defaults of the settings, and request classes of unusual names. */
class SettingsReaderTest extends ConfigurationHarness {

  private static final int CLASS_COUNT = 700;
  private static final List<String> UNUSUAL_NAMES =
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

  private SettingsReader settingsWith(String path, String value) throws Exception {
    return read(with("settings/" + path, value)).settings();
  }

  private PolicySettings policySettingsWith(String path, String value) throws Exception {
    return settingsWith(path, value).settings(1);
  }

  @Test
  void absentValuesHaveDefaults() throws Exception {
    assertThat(settingsWith("Limits/ConnectTimeoutNs", null).connectTimeout())
        .isEqualTo(Duration.ofMillis(400));
    assertThat(policySettingsWith("FamilyInfo/GoneEverywhereNs", null).purgePropagationTime())
        .isEqualTo(Duration.ofSeconds(60));
    assertThat(policySettingsWith("Obligations/FallNs", null).edgeColdStart().overloadWindow())
        .isEqualTo(Duration.ofSeconds(1));
    assertThat(policySettingsWith("Limits/MaxRetryAfterNs", null).maxRetryAfter()).isNull();
    assertThat(settingsWith("FamilyInfo/NeverKept", null).requestClasses())
        .extracting(RequestClass::cacheable)
        .containsExactly(true, false, false);
  }

  @Test
  void unknownKeywordsHaveTheStrictestMeaning() throws Exception {
    SettingsReader reader = settingsWith("Classes/0/Semantics", "\"later\"");
    assertThat(reader.requestClasses().get(0).idempotency()).isEqualTo(Idempotency.NON_IDEMPOTENT);
    assertThat(reader.validate())
        .containsExactly("Classes.0.Semantics is later, which is unknown: counts as side_effect");
    assertThat(
            settingsWith("Classes/1/Group", "\"hall\"")
                .requestClasses()
                .get(1)
                .deduplicationScope())
        .isEqualTo(RequestClass.DeduplicationScope.CELL);
    assertThat(policySettingsWith("FamilyInfo/Neighbours", "\"hall\"").siblingFillAllowed())
        .isFalse();
    assertThat(policySettingsWith("FamilyInfo/Neighbours", "\"any\"").siblingFillAllowed())
        .isTrue();
    assertThat(policySettingsWith("FamilyInfo/Says", "\"much\"").reportsFillSource()).isFalse();
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

  /**
   * The configuration with hundreds of classes, the first of unusual names, each with its own
   * values.
   */
  private static JsonObject manyClasses() throws Exception {
    JsonObject configuration = whole();
    JsonObject settings = configuration.getAsJsonObject("settings");
    JsonObject template = settings.getAsJsonArray("Classes").get(0).getAsJsonObject();
    JsonArray classes = new JsonArray();
    JsonArray neverCached = new JsonArray();
    JsonArray maxAges = new JsonArray();
    for (int i = 0; i < CLASS_COUNT; i++) {
      JsonObject next = template.deepCopy();
      next.addProperty("Name", i < UNUSUAL_NAMES.size() ? UNUSUAL_NAMES.get(i) : "class " + i);
      next.addProperty("GoalTimeNs", 1_000_000_000L + i);
      classes.add(next);
      neverCached.add(i % 2 == 1);
      maxAges.add(i * 1_000_000_000L);
    }
    settings.add("Classes", classes);
    settings.getAsJsonObject("FamilyInfo").add("NeverKept", neverCached);
    settings.getAsJsonObject("FamilyInfo").add("MaxAgeNs", maxAges);
    return configuration;
  }

  @Test
  void hundredsOfClassesWithUnusualNamesStayDistinct() throws Exception {
    JsonObject configuration = manyClasses();
    SettingsReader reader = read(configuration).settings();
    assertThat(reader.validate()).isEmpty();
    assertThat(reader.requestClassesByName())
        .hasSize(CLASS_COUNT)
        .containsKeys("rid", "a=b", "\u00e4\u20ac", "class_699");
    RequestClass last = reader.requestClassesByName().get("class_699");
    assertThat(last.latencyObjective()).isEqualTo(Duration.ofNanos(1_000_000_699L));
    assertThat(last.cacheable()).isFalse();
    assertThat(reader.requestClassesByName().get("lane").maxAge()).isEqualTo(Duration.ofSeconds(1));
    assertWorks(read(configuration), "many classes");
  }
}
