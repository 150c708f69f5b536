package tamarindroute.variants;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The generator's folders: their contents, that pairs are reproducible, and that a failure leaves
 * nothing.
 */
class GenerateCommandTest {

  @TempDir Path temporary;

  private static Set<String> names(Path folder) throws IOException {
    try (Stream<Path> entries = Files.list(folder)) {
      return entries.map(entry -> entry.getFileName().toString()).collect(Collectors.toSet());
    }
  }

  private static Set<String> pairs(Path folder) throws IOException {
    Set<String> pairs = names(folder);
    pairs.removeIf(name -> !name.contains("+"));
    return pairs;
  }

  @Test
  void companionsAndTheUnchangedSiteAreCopiedByteForByte() throws IOException {
    Path out = temporary.resolve("out");
    assertThat(SiteFixtures.generate(SiteFixtures.ATRIUM, out, "--pairs", 2).code()).isZero();
    for (String variant : names(out)) {
      assertThat(names(out.resolve(variant)))
          .containsExactlyInAnyOrder("atrium-reels.toml", "wire.json", "real.json", "unlock.txt");
      for (String companion : VariantFolder.COMPANIONS) {
        assertThat(out.resolve(variant).resolve(companion))
            .hasSameBinaryContentAs(SiteFixtures.ATRIUM.resolveSibling(companion));
      }
    }
    assertThat(out.resolve("unchanged/atrium-reels.toml"))
        .hasSameBinaryContentAs(SiteFixtures.ATRIUM);
    assertThat(names(temporary)).containsExactly("out");
  }

  @Test
  void onlyTheCompanionsThatAreThereAreCopied() throws IOException {
    Path site = Files.copy(SiteFixtures.QUAYSIDE, temporary.resolve("lots.toml"));
    Files.writeString(temporary.resolve("wire.json"), "{}");
    assertThat(SiteFixtures.generate(site, temporary.resolve("out")).code()).isZero();
    assertThat(names(temporary.resolve("out/low-load")))
        .containsExactlyInAnyOrder("lots.toml", "wire.json");
  }

  @Test
  void onlyTheChangedLinesDiffer() throws IOException {
    Path out = temporary.resolve("out");
    SiteFixtures.generate(SiteFixtures.ATRIUM, out);
    List<String> before = Files.readAllLines(SiteFixtures.ATRIUM);
    List<String> after = Files.readAllLines(out.resolve("slow-cold-starts/atrium-reels.toml"));
    assertThat(after).hasSameSizeAs(before);
    int changed = 0;
    for (int i = 0; i < before.size(); i++) {
      changed += before.get(i).equals(after.get(i)) ? 0 : 1;
    }
    assertThat(changed).isEqualTo(6);
  }

  @Test
  void pairsAreTheSameForTheSameSeed() throws IOException {
    for (String run : List.of("one", "again")) {
      assertThat(
              SiteFixtures.generate(
                      SiteFixtures.QUAYSIDE, temporary.resolve(run), "--pairs", 9, "--seed", 5)
                  .code())
          .isZero();
    }
    SiteFixtures.generate(
        SiteFixtures.QUAYSIDE, temporary.resolve("other"), "--pairs", 9, "--seed", 6);
    assertThat(pairs(temporary.resolve("one")))
        .hasSize(9)
        .isEqualTo(pairs(temporary.resolve("again")));
    assertThat(pairs(temporary.resolve("other")))
        .hasSize(9)
        .isNotEqualTo(pairs(temporary.resolve("one")));
  }

  @Test
  void aPairChangesTheKeysOfBoth() throws IOException {
    Path out = temporary.resolve("out");
    SiteFixtures.generate(SiteFixtures.QUAYSIDE, out, "--pairs", 60, "--seed", 1);
    for (String pair : pairs(out)) {
      Set<String> keys = new HashSet<>();
      int sum = 0;
      for (String factor : pair.split("\\+", -1)) {
        Map<String, String> alone =
            SiteFixtures.changed(
                SiteFixtures.QUAYSIDE, out.resolve(factor).resolve("quayside-lots.toml"));
        keys.addAll(alone.keySet());
        sum += alone.size();
      }
      assertThat(keys).as(pair).hasSize(sum);
      assertThat(
              SiteFixtures.changed(
                      SiteFixtures.QUAYSIDE, out.resolve(pair).resolve("quayside-lots.toml"))
                  .keySet())
          .as(pair)
          .isEqualTo(keys);
    }
  }

  @Test
  void aSkippedFactorIsPrintedInOneLine() {
    SiteFixtures.Run run = SiteFixtures.generate(SiteFixtures.QUAYSIDE, temporary.resolve("out"));
    assertThat(run.out())
        .contains("bypass: skipped, changes nothing on quayside-lots" + System.lineSeparator());
    assertThat(run.out().lines())
        .hasSize(7)
        .last()
        .asString()
        .startsWith("40 variants of quayside-lots in ");
  }

  @Test
  void theListWritesNothing() throws IOException {
    SiteFixtures.Run run =
        SiteFixtures.generate(SiteFixtures.QUAYSIDE, temporary.resolve("out"), "--list");
    assertThat(run.code()).isZero();
    assertThat(run.out().lines()).hasSize(Factor.values().length);
    assertThat(run.out())
        .containsPattern("bypass +requests may go past the caches \\(changes nothing here\\)");
    assertThat(SiteFixtures.generate("--list").out())
        .contains("no-weights")
        .doesNotContain("nothing here");
    assertThat(names(temporary)).isEmpty();
  }

  @Test
  void anEmptyFolderIsAccepted() throws IOException {
    Path out = Files.createDirectory(temporary.resolve("out"));
    assertThat(SiteFixtures.generate(SiteFixtures.QUAYSIDE, out).code()).isZero();
    assertThat(names(out)).contains("unchanged");
  }

  @Test
  void badInputIsRefusedInOneLineAndLeavesNothing() throws IOException {
    String site = Files.readString(SiteFixtures.QUAYSIDE);
    Map<String, String> texts = new HashMap<>();
    texts.put("broken.toml", site.replace("[fam]", "[fam"));
    texts.put("nofam.toml", site.replaceAll("(?s)\\[fam].*", ""));
    texts.put("noclass.toml", site.replace("[[class]]", "[[kind]]"));
    texts.put(
        "onetier.toml", site.replace("[[tier]]", "[tier]").replace("[[tier.kind]]", "[tier.kind]"));
    texts.put("empty.toml", "");
    texts.put("site.txt", site);
    texts.put("lines.toml", site.replace("quiet = [", "quiet = [\n"));
    for (Map.Entry<String, String> text : texts.entrySet()) {
      Files.writeString(temporary.resolve(text.getKey()), text.getValue());
      assertRefused(temporary.resolve(text.getKey()), temporary.resolve("out"));
    }
    assertRefused(temporary.resolve("missing.toml"), temporary.resolve("out"));
    assertRefused(SiteFixtures.QUAYSIDE, temporary.resolve("out"), "--fast");
    assertRefused(SiteFixtures.QUAYSIDE, temporary.resolve("out"), "--pairs", 100_000);
    assertRefused(SiteFixtures.QUAYSIDE, temporary.resolve("none/out"));
    assertRefused(SiteFixtures.QUAYSIDE, temporary.resolve("empty.toml"));
    assertThat(names(temporary)).isEqualTo(texts.keySet());
  }

  @Test
  void aFolderThatHoldsSomethingIsLeftAsItIs() throws IOException {
    Path out = Files.createDirectory(temporary.resolve("out"));
    Files.writeString(out.resolve("kept.txt"), "kept");
    assertRefused(SiteFixtures.QUAYSIDE, out);
    assertThat(names(out)).containsExactly("kept.txt");
    assertThat(names(temporary)).containsExactly("out");
  }

  @Test
  void wrongArgumentsPrintTheUsage() throws IOException {
    for (Object[] arguments :
        new Object[][] {
          {},
          {SiteFixtures.QUAYSIDE},
          {SiteFixtures.QUAYSIDE, temporary.resolve("out"), "more"},
          {SiteFixtures.QUAYSIDE, temporary.resolve("out"), "--pairs"},
          {SiteFixtures.QUAYSIDE, temporary.resolve("out"), "--pairs", "-1"},
          {SiteFixtures.QUAYSIDE, temporary.resolve("out"), "--seed", "x"}
        }) {
      SiteFixtures.Run run = SiteFixtures.generate(arguments);
      assertThat(run.code()).isEqualTo(ExitCodes.USAGE);
      assertThat(run.errors()).contains("usage: generate.sh");
    }
    assertThat(names(temporary)).isEmpty();
  }

  private static void assertRefused(Object... arguments) {
    SiteFixtures.Run run = SiteFixtures.generate(arguments);
    assertThat(run.code()).as(run.errors()).isEqualTo(ExitCodes.INVALID_INPUT);
    assertThat(run.errors().lines()).hasSize(1);
    assertThat(run.out()).isEmpty();
  }
}
