package tamarindroute.variants;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each factor changes its keys and no others in the written files of two sites. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FactorTest {

  /** A line for each factor: its keys, in any table of an array. */
  private static final Map<String, Set<String>> KEYS =
      keys(
          """
            no-weights tier.weights
            nominal-weights tier.weights
            rough-weights tier.weights
            live-weights tier.weights
            no-reports tier.report.how tier.report.fields
            polled-reports tier.report.how allow.probes
            late-reports tier.report.period_ms tier.report.delay_ms
            sizes-told fam.tells_size
            sizes-untold fam.tells_size
            links-told fam.tells_links
            links-untold fam.tells_links
            tells-all fam.tells
            tells-hits fam.tells
            tells-nothing fam.tells
            second-copies allow.second_copies
            no-second-copies allow.second_copies
            few-attempts allow.max_attempts
            no-cancel allow.cancel
            bypass fam.direct
            joins fam.joins
            no-siblings fam.siblings
            large-objects class.work_ms
            small-objects class.work_ms
            heavy-sizes fam.class.size_sigma
            short-deadlines class.deadline_ms
            long-deadlines class.deadline_ms
            tight-target class.aim_ms
            loose-target class.aim_ms
            high-load load.quiet load.trouble load.overload load.big
            low-load load.quiet load.trouble load.overload load.big
            eager-clients clients.retries clients.backoff
            patient-clients clients.retries
            far-parents fam.near_ms fam.far_ms
            slow-origin fam.origin_ms
            few-fills fam.fills_per_core
            narrow-links fam.link_room
            once-objects fam.class.once fam.class.hits
            slow-cold-starts tier.kind.cold_from tier.kind.cold_s fam.parent_cold_from fam.parent_cold_s
            hard-cold-bound rules.fall_multiple
            quick-purges fam.purge_grace_ms
            many-small-caches scale.servers scale.big_servers tier.kind.cores
            few-large-caches scale.servers scale.big_servers scale.twin_servers tier.kind.cores
            uneven-caches tier.kind.speed_cv tier.kind.speed
            keyed-writes class.effect class.group class.window_ms
            few-streams tier.conn.streams
            """);

  private static final Set<String> ALREADY_IN_ATRIUM =
      Set.of(
          "no-weights",
          "sizes-told",
          "links-told",
          "tells-all",
          "no-second-copies",
          "joins",
          "keyed-writes");
  private static final Set<String> ALREADY_IN_QUAYSIDE =
      Set.of(
          "nominal-weights", "sizes-told", "links-untold", "tells-hits", "second-copies", "bypass");

  /** What a factor makes of all its keys on quayside-lots, calculated by hand. */
  private static final String QUAYSIDE =
      """
            no-weights tier[0].weights="none"
            rough-weights tier[0].weights="rough"
            live-weights tier[0].weights="live"
            no-reports tier[0].report.how="none" tier[0].report.fields=[]
            polled-reports tier[0].report.how="probe"
            late-reports tier[0].report.period_ms=[600,4850] tier[0].report.delay_ms=[110,1400]
            sizes-untold fam.tells_size=false
            links-told fam.tells_links=true
            tells-all fam.tells="all"
            tells-nothing fam.tells="none"
            no-second-copies allow.second_copies=false
            few-attempts allow.max_attempts=2
            no-cancel allow.cancel=false
            joins fam.joins=true
            no-siblings fam.siblings="none"
            large-objects class[0].work_ms=[270,480] class[1].work_ms=[75,210] class[2].work_ms=[30,90] class[3].work_ms=[30,90]
            small-objects class[0].work_ms=[22.5,40] class[1].work_ms=[6.25,17.5] class[2].work_ms=[2.5,7.5] class[3].work_ms=[2.5,7.5]
            heavy-sizes fam.class[0].size_sigma=[1.122,1.7] fam.class[1].size_sigma=[1.007,1.7]
            short-deadlines class[0].deadline_ms=600 class[1].deadline_ms=500 class[2].deadline_ms=750 class[3].deadline_ms=750
            long-deadlines class[0].deadline_ms=3600 class[1].deadline_ms=3000 class[2].deadline_ms=4200 class[3].deadline_ms=3600
            tight-target class[0].aim_ms=150 class[1].aim_ms=150 class[2].aim_ms=150 class[3].aim_ms=150
            loose-target class[0].aim_ms=600 class[1].aim_ms=500 class[2].aim_ms=1000 class[3].aim_ms=1000
            high-load load.quiet=[0.437,0.575] load.trouble=[0.6325,0.782] load.overload=[1.047,1.38] load.big=[0.6325,0.805]
            low-load load.quiet=[0.266,0.35] load.trouble=[0.385,0.476] load.overload=[0.637,0.84] load.big=[0.385,0.49]
            eager-clients clients.retries=[2,2.99] clients.backoff="none"
            patient-clients clients.retries=0
            far-parents fam.near_ms=[12.3,33] fam.far_ms=[54,96]
            slow-origin fam.origin_ms=[60,160]
            few-fills fam.fills_per_core=[1.3,3.8]
            narrow-links fam.link_room=[1,1.05]
            once-objects fam.class[0].hits=[0.528,0.616] fam.class[0].once=[0.14,0.34] fam.class[1].hits=[0.52,0.616] fam.class[1].once=[0.136,0.34]
            slow-cold-starts tier[0].kind[0].cold_from=[0.05,0.08] tier[0].kind[0].cold_s=[11.2,34] fam.parent_cold_from=[0.05,0.08] fam.parent_cold_s=[24,44]
            hard-cold-bound rules.fall_multiple=1.5
            quick-purges fam.purge_grace_ms=150
            many-small-caches scale.servers=[18,24] scale.big_servers=[22,34] tier[0].kind[0].cores=[2,4]
            few-large-caches scale.servers=[5,6] scale.big_servers=[6,9] scale.twin_servers=5 tier[0].kind[0].cores=[8,14]
            uneven-caches tier[0].kind[0].speed=[0.5,1.5] tier[0].kind[0].speed_cv=[0.19,0.575]
            keyed-writes class[3].effect="keyed" class[3].group="all" class[3].window_ms=500
            few-streams tier[0].conn.streams=8
            """;

  @TempDir static Path temporary;

  private static Map<String, Set<String>> keys(String lines) {
    Map<String, Set<String>> keys = new HashMap<>();
    for (String line : lines.lines().toList()) {
      String[] words = line.split(" ", -1);
      keys.put(words[0], Set.copyOf(Arrays.asList(words).subList(1, words.length)));
    }
    return keys;
  }

  @BeforeAll
  static void generate() {
    assertThat(SiteFixtures.generate(SiteFixtures.ATRIUM, temporary.resolve("atrium")).code())
        .isEqualTo(ExitCodes.SUCCESS);
    assertThat(SiteFixtures.generate(SiteFixtures.QUAYSIDE, temporary.resolve("quayside")).code())
        .isEqualTo(ExitCodes.SUCCESS);
  }

  @ParameterizedTest
  @EnumSource
  void changesItsKeysAndNoOther(Factor factor) throws IOException {
    checkKeys(factor, SiteFixtures.ATRIUM, temporary.resolve("atrium"), ALREADY_IN_ATRIUM);
    checkKeys(factor, SiteFixtures.QUAYSIDE, temporary.resolve("quayside"), ALREADY_IN_QUAYSIDE);
  }

  private static void checkKeys(Factor factor, Path site, Path folder, Set<String> already)
      throws IOException {
    Path variant = folder.resolve(factor.displayName()).resolve(site.getFileName());
    assertThat(Files.exists(variant))
        .as("%s of %s", factor, site)
        .isEqualTo(!already.contains(factor.displayName()));
    if (!already.contains(factor.displayName())) {
      Map<String, String> changed = SiteFixtures.changed(site, variant);
      assertThat(withoutNumbers(changed.keySet()))
          .isNotEmpty()
          .isSubsetOf(KEYS.get(factor.displayName()));
      for (String value : changed.values()) {
        checkRange(value);
      }
    }
  }

  private static Set<String> withoutNumbers(Set<String> paths) {
    return paths.stream()
        .map(path -> path.replaceAll("\\[\\d+]", ""))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static void checkRange(String value) throws IOException {
    JsonNode numbers = new ObjectMapper().readTree(value);
    if (numbers.path(0).isNumber()) {
      assertThat(numbers).hasSize(2);
      assertThat(numbers.get(0).asDouble()).isBetween(0.0, numbers.get(1).asDouble());
    }
  }

  @Test
  void setsTheValuesCalculatedByHand() throws IOException {
    Map<String, Set<String>> wanted = keys(QUAYSIDE);
    assertThat(wanted).hasSize(Factor.values().length - ALREADY_IN_QUAYSIDE.size());
    for (Map.Entry<String, Set<String>> line : wanted.entrySet()) {
      Path variant =
          temporary.resolve("quayside").resolve(line.getKey()).resolve("quayside-lots.toml");
      Set<String> found = new TreeSet<>();
      SiteFixtures.changed(SiteFixtures.QUAYSIDE, variant)
          .forEach((path, value) -> found.add(path + "=" + value));
      assertThat(found).as(line.getKey()).isEqualTo(line.getValue());
    }
  }

  @Test
  void aDeadlineBelowTheMinimumStays() throws Exception {
    var site = SiteFile.read(SiteFixtures.QUAYSIDE).document();
    TableSelection.at(site, "class").set("deadline_ms", 600).set("aim_ms", 500);
    Factor.SHORT_DEADLINES.apply(site);
    Factor.LOOSE_TARGET.apply(site);
    assertThat(site.findValues("deadline_ms")).allMatch(deadline -> deadline.asInt() == 600);
    assertThat(site.findValues("aim_ms")).allMatch(aim -> aim.asInt() == 600);
  }

  @Test
  void disabledReportsGetDefaultFieldsWhenPolled() throws Exception {
    var site = SiteFile.read(SiteFixtures.ATRIUM).document();
    Factor.NO_REPORTS.apply(site);
    var without = site.deepCopy();
    Factor.LATE_REPORTS.apply(site);
    assertThat(site).isEqualTo(without);
    Factor.POLLED_REPORTS.apply(site);
    assertThat(site.at("/tier/0/report/fields")).hasSize(3);
    assertThat(site.at("/allow/probes").asBoolean()).isTrue();
  }

  @Test
  void aSiteWithoutPurgesStays() throws Exception {
    var site = SiteFile.read(SiteFixtures.QUAYSIDE).document();
    TableSelection.at(site, "fam").set("purges", 0);
    var before = site.deepCopy();
    Factor.QUICK_PURGES.apply(site);
    assertThat(site).isEqualTo(before);
  }
}
