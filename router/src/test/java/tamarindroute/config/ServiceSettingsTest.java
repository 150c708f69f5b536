package tamarindroute.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading of settings files, valid and invalid. */
class ServiceSettingsTest {

  @TempDir Path folder;

  private String valid;

  @BeforeEach
  void example() throws IOException {
    valid =
        Files.readString(Path.of("deploy/dns.xml"))
            .replace("../example/config.json", "config.json");
    Files.copy(Path.of("deploy/sheds.zone"), folder.resolve("sheds.zone"));
    Files.copy(Path.of("example/config.json"), folder.resolve("config.json"));
  }

  private Path file(String text) throws IOException {
    return Files.writeString(folder.resolve("dns.xml"), text);
  }

  private List<String> faults(String text) throws IOException {
    Path file = file(text);
    InvalidSettingsException e =
        catchThrowableOfType(InvalidSettingsException.class, () -> ServiceSettings.read(file));
    assertThat(e).as("rejected").isNotNull();
    return e.faults().stream().map(fault -> fault.toString().replace(file + ":", "")).toList();
  }

  /** The line in which a text stands, from 1. */
  private static int line(String text, String part) {
    return (int) text.substring(0, text.indexOf(part)).lines().count()
        + (text.startsWith(part) ? 1 : 0);
  }

  @Test
  void exampleFileIsValidAndSchemaDefaultsApply() throws IOException {
    ServiceSettings settings = ServiceSettings.read(Path.of("deploy/dns.xml"));
    assertThat(settings.dns().steering().maxTtl()).isEqualTo(Duration.ofSeconds(30));
    assertThat(settings.dns().steering().nearestLabel()).isEqualTo("near");
    assertThat(settings.dns().steering().locations().get(0).clientNetworks())
        .extracting(c -> c.loadPerAnswer())
        .containsExactly(2.0, 8.0);
    assertThat(settings.dns().zones().get(0).soa().getMinimum()).isEqualTo(5);
  }

  @Test
  void allSchemaViolationsAreReportedWithPositions() throws IOException {
    String invalid =
        valid
            .replace("ttl-most=\"PT30S\"", "ttl-most=\"30\"")
            .replace("slip=\"2\"", "slip=\"no\"")
            .replace("<profile label=\"pick\" name=\"pick\"/>", "<profil label=\"pick\"/>");
    List<String> faults = faults(invalid);
    assertThat(faults).hasSizeGreaterThanOrEqualTo(3);
    assertThat(faults).anySatisfy(f -> assertThat(f).contains("30").contains("ttl-most"));
    assertThat(faults)
        .anySatisfy(
            f -> assertThat(f).startsWith(line(invalid, "<profil ") + ":").contains("profil"));
    assertThat(faults).anySatisfy(f -> assertThat(f).contains("slip"));
  }

  @Test
  void semanticFaultsAreReportedWithPositions() throws IOException {
    String invalid =
        valid
            .replace("place=\"shed\"", "place=\"moon\"")
            .replace("ttl-least=\"PT1S\"", "ttl-least=\"PT1M\"")
            .replace("name=\"clip\"/>", "name=\"clap\"/>")
            .replace("10.3.0.0/16", "10.3.0.0/77")
            .replace("file=\"sheds.zone\"", "file=\"none.zone\"");
    List<String> faults = faults(invalid);
    for (String part : List.of("moon", "ttl-least is over", "clap", "77 bits", "none.zone")) {
      assertThat(faults).anySatisfy(f -> assertThat(f).contains(part).matches("(?s)\\d+:\\d+: .*"));
    }
  }

  @Test
  void malformedFilesAreRejectedWithLine() throws IOException {
    assertThat(faults("<tamarindroute")).singleElement().asString().startsWith("1:");
    assertThat(faults("")).hasSize(1);
    assertThat(faults(valid.replace("</steer>", "")))
        .anySatisfy(f -> assertThat(f).contains("steer"));
    assertThat(faults("<other/>")).isNotEmpty();
  }

  @Test
  void externalEntitiesAreRejected() throws IOException {
    Files.writeString(folder.resolve("secret"), "x");
    String external =
        "<!DOCTYPE tamarindroute [<!ENTITY x SYSTEM \"secret\">]>\n"
            + valid.substring(valid.indexOf("<tamarindroute"));
    assertThat(faults(external)).singleElement().asString().contains("DOCTYPE");
  }

  @Test
  void invalidZoneFilesAreRejected() throws IOException {
    Files.writeString(folder.resolve("sheds.zone"), "@ IN A 192.0.2.1\n");
    assertThat(faults(valid)).anySatisfy(f -> assertThat(f).contains("sheds.zone"));
    Files.writeString(folder.resolve("sheds.zone"), "$INCLUDE /etc/hostname\n");
    assertThat(faults(valid)).anySatisfy(f -> assertThat(f).contains("sheds.zone"));
    Files.writeString(
        folder.resolve("sheds.zone"),
        Files.readString(Path.of("deploy/sheds.zone")) + "shed-3 IN A 192.0.2.1\n");
    assertThat(faults(valid)).anySatisfy(f -> assertThat(f).contains("shed-3").contains("steered"));
  }

  @Test
  void feedByHostNameNeedsResolvers() throws IOException {
    String named =
        valid.replace("instances=\"1\"/>", "instances=\"1\" feed=\"feed.sheds.example:7001\"/>");
    assertThat(faults(named)).singleElement().asString().contains("resolvers");
    assertThat(
            ServiceSettings.read(
                    file(
                        named.replace(
                            "<dns ",
                            "<resolvers><upstream address=\"127.0.0.1:53\"/>"
                                + "</resolvers><dns ")))
                .feed())
        .isEqualTo("feed.sheds.example:7001");
  }
}
