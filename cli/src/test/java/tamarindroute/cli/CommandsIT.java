package tamarindroute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The command line, started from the jar as a user would, with its exit codes and messages. */
@Timeout(60)
class CommandsIT {

  @TempDir Path folder;

  private String output;

  private int run(String... arguments) throws Exception {
    List<String> command = new ArrayList<>(List.of("java", "-jar", "target/tamarindroute.jar"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("out").toFile());
    builder.environment().remove("EDGE_CONFIG");
    Process process = builder.start();
    assertThat(process.waitFor(20, TimeUnit.SECONDS)).as("the command ends by itself").isTrue();
    output = Files.readString(folder.resolve("out"));
    return process.exitValue();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "                            | 2 | a subcommand is missing",
        "nonsense                    | 2 | nonsense",
        "serve                       | 3 | EDGE_CONFIG names no configuration file",
        "serve --log plain           | 3 | EDGE_CONFIG names no configuration file",
        "serve --log loud            | 2 | loud",
        "--version                   | 0 | tamarindroute",
        "help dns                    | 0 | FILE",
        "config                      | 2 | a subcommand is missing",
        "config check deploy/dns.xml | 0 | sound",
        "config check pom.xml        | 3 | pom.xml:4",
        "config check none.xml       | 3 | none.xml",
        "dns none.xml                | 3 | none.xml",
        "ask 127.0.0.1 a.example     | 2 | ADDRESS:PORT",
        "ask 127.0.0.1:9 a. NOTYPE   | 2 | NOTYPE",
        "ask 127.0.0.1:9 a.example   | 1 | ask"
      })
  void eachCommandEndsWithItsExitCodeAndMessage(
      String arguments, int exitCode, String expectedOutput) throws Exception {
    assertThat(run(arguments == null ? new String[0] : arguments.split(" "))).isEqualTo(exitCode);
    assertThat(output).contains(expectedOutput);
    assertThat(output).doesNotContain("\tat ").doesNotContain("SLF4J");
  }
}
