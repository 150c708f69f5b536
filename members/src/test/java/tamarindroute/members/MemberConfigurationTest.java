package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tamarindroute.config.UnusableException;
import tamarindroute.membership.Address;

/** Valid and invalid settings files, and the incarnation file. */
class MemberConfigurationTest {

  @TempDir Path folder;

  private String valid;

  @BeforeEach
  void example() throws IOException {
    valid = Files.readString(Path.of("deploy/members.xml"));
    Files.writeString(folder.resolve("members.key"), "0123456789abcdef".repeat(4) + "\n");
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("members.xml"), text);
  }

  private List<String> faults(String text) throws IOException {
    Path file = write(text);
    UnusableException e =
        catchThrowableOfType(UnusableException.class, () -> MemberConfiguration.read(file));
    assertThat(e).as("rejected").isNotNull();
    return e.faults().stream().map(fault -> fault.toString().replace(file + ":", "")).toList();
  }

  @Test
  void exampleFileIsValid() throws IOException {
    MemberConfiguration configuration = MemberConfiguration.read(write(valid));
    assertThat(configuration.advertisedAddress()).isEqualTo(new Address("127.0.0.1", 9001));
    assertThat(configuration.seeds())
        .containsExactly(new Address("127.0.0.1", 9002), new Address("127.0.0.1", 9003));
    assertThat(configuration.incarnationFile()).isEqualTo(folder.resolve("members.birth"));
    assertThat(configuration.membershipSettings().probePeriod()).isEqualTo(Duration.ofSeconds(1));
  }

  @Test
  void overridesKeysAndTimingsAreRead() throws IOException {
    MemberConfiguration configuration =
        MemberConfiguration.read(
            write(
                valid
                    .replace("probe=\"PT1S\" pause=\"PT3S\"", "probe=\"PT0.2S\" pause=\"PT2S\"")
                    .replace(
                        "<timing",
                        "<voter address=\"[::1]:9003\"/><way to=\"127.0.0.1:9002\" by=\"127.0.0.1:19002\"/><timing")));
    assertThat(configuration.addressOverrides())
        .containsEntry(new Address("127.0.0.1", 9002), new InetSocketAddress("127.0.0.1", 19002));
    assertThat(configuration.voters()).containsExactly(new Address("0:0:0:0:0:0:0:1", 9003));
    assertThat(configuration.membershipSettings().probeTimeout()).isEqualTo(Duration.ofMillis(25));
    assertThat(configuration.membershipSettings().toleratedPause())
        .isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void allFaultsAreReportedAtOnceWithTheirPositions() throws IOException {
    assertThat(
            faults(
                valid.replace("PT3S", "3").replace("<seed address=\"127.0.0.1:9002\"/>", "<sed/>")))
        .hasSize(3)
        .allMatch(fault -> fault.matches("(?s)\\d+:\\d+: .*"))
        .anyMatch(fault -> fault.startsWith("8:9: "))
        .anyMatch(fault -> fault.startsWith("10:35: "));
    Files.writeString(folder.resolve("members.key"), "0123456789abcdef");
    assertThat(
            faults(
                valid
                    .replace("name=\"127.0.0.1:9001\"", "")
                    .replace("listen=\"127.0.0.1:9001\"", "listen=\"0.0.0.0:9001\"")
                    .replace("address=\"127.0.0.1:9002\"", "address=\"127.0.0.1:99999\"")
                    .replace("pause=\"PT3S\"", "pause=\"PT0.1S\"")
                    .replace(
                        "<timing",
                        "<way to=\"1.2.3.4:5\" by=\"1.2.3.4:6\"/><way to=\"1.2.3.4:5\" by=\"1.2.3.4:7\"/><timing")))
        .hasSize(5)
        .anyMatch(fault -> fault.contains("a name is needed"))
        .anyMatch(fault -> fault.contains("hexadecimal"))
        .anyMatch(fault -> fault.contains("99999"))
        .anyMatch(fault -> fault.contains("a second way"))
        .anyMatch(
            fault ->
                fault.contains("tolerated pause PT0.1S is not allowed: at least a probe period"));
  }

  @Test
  void proposedIncarnationExceedsTheStoredOneThoughTheClockWentBack() throws IOException {
    Path stored = folder.resolve("birth");
    assertThat(new IncarnationFile(stored).propose(5_000)).isEqualTo(5_000);
    new IncarnationFile(stored).store(5_000);
    assertThat(new IncarnationFile(stored).propose(4_000)).isEqualTo(5_001);
    assertThat(new IncarnationFile(stored).propose(6_000)).isEqualTo(6_000);
    Files.writeString(stored, "not a number");
    assertThat(new IncarnationFile(stored).propose(4_000)).isEqualTo(4_000);
  }

  @Test
  void voterStoreIsBesideTheIncarnationFile() throws IOException {
    String withVoter = valid.replace("<timing", "<voter address=\"127.0.0.1:9001\"/><timing");
    assertThat(MemberConfiguration.read(write(withVoter)).voterStore())
        .isEqualTo(folder.resolve("members.birth.agreed"));
    assertThat(faults(withVoter.replace(" state=\"members.birth\"", "")))
        .singleElement()
        .asString()
        .startsWith("3:")
        .contains("a voter needs a state file");
  }
}
