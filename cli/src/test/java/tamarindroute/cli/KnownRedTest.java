package tamarindroute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What KNOWN-RED.txt may say, and when a listed test counts as red. */
class KnownRedTest {

  private static final String ONE =
      "KnownRedTest#aLineTellsTheTestItsModuleAndItsKind | a cause | 7\n";

  @TempDir Path folder;

  private record Ended(int code, String told) {}

  private Ended run(String... words) throws IOException, InterruptedException {
    Path out = folder.resolve("out");
    String[] command = new String[words.length + 2];
    command[0] = "bash";
    command[1] = ".ci/known-red";
    System.arraycopy(words, 0, command, 2, words.length);
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(out.toFile()).start();
    assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
    return new Ended(process.exitValue(), Files.readString(out));
  }

  private Ended list(String text) throws IOException, InterruptedException {
    return run("list", Files.writeString(folder.resolve("KNOWN-RED.txt"), text).toString());
  }

  @Test
  void aLineTellsTheTestItsModuleAndItsKind() throws Exception {
    assertThat(run("list", folder.resolve("absent").toString())).isEqualTo(new Ended(0, ""));
    assertThat(list("\n  \n")).isEqualTo(new Ended(0, ""));
    assertThat(list(ONE + "GatewayIT#copyThatTheClientHoldsIsNotSentAgain | b | #8"))
        .isEqualTo(
            new Ended(
                0,
                """
                KnownRedTest aLineTellsTheTestItsModuleAndItsKind cli unit tamarindroute.cli.KnownRedTest
                GatewayIT copyThatTheClientHoldsIsNotSentAgain cli it tamarindroute.gateway.GatewayIT
                """));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "KnownRedTest#noSuchMethod | a | 1",
        "NoSuchTest#x | a | 1",
        "KnownRedTest#list | | 1",
        "KnownRedTest#aLineTellsTheTestItsModuleAndItsKind | a",
        "KnownRedTest | a | 1",
        "KnownRedTest#* | a | 1",
        "KnownRedTest#aLineTellsTheTestItsModuleAndItsKind | a | 1 | more",
        ONE + ONE + ONE + ONE
      })
  void aLineThatNamesNoTestOrNoCauseIsRefusedAndSoIsAFourth(String text) throws Exception {
    Ended ended = list(text);
    assertThat(ended.code()).isEqualTo(1);
    assertThat(ended.told().lines().reduce((one, next) -> next).orElse(""))
        .startsWith("KNOWN-RED.txt: ");
  }

  @ParameterizedTest
  @CsvSource({
    "<testcase name=\"x\"><failure message=\"no\"/>, 0",
    "<testcase name=\"x(String)[1]\"><error type=\"E\"/>, 0",
    "<testcase name=\"x\"/>, 1",
    "<testcase name=\"x\"><skipped/>, 1",
    "<testcase name=\"xy\"><failure/>, 2",
    "'', 2"
  })
  void onlyATestThatRanAndFailedIsRed(String report, int code) throws Exception {
    assertThat(
            run("judge", Files.writeString(folder.resolve("r.xml"), report).toString(), "x").code())
        .isEqualTo(code);
    assertThat(run("judge", folder.resolve("none.xml").toString(), "x").code()).isEqualTo(2);
  }
}
