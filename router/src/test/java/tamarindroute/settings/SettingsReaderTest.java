package tamarindroute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RequestClass.Idempotency;

/** Defaults of the settings, and request classes of unusual names. */
class SettingsReaderTest extends ConfigurationHarness {

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
    List<String> unusual =
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
      next.addProperty("Name", i < unusual.size() ? unusual.get(i) : "class " + i);
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
}
