package tamarindroute.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays every scenario under policy/src/test/resources/scenarios. */
class ScenarioTest {

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(Path.of("policy/src/test/resources/scenarios"))) {
      files = found.sorted().toList();
    }
    return files.stream()
        .map(
            file ->
                DynamicTest.dynamicTest(
                    file.getFileName().toString(),
                    () -> {
                      Scenario scenario = new Scenario();
                      List<String> lines = Files.readAllLines(file);
                      scenario.play(
                          lines.stream().filter(line -> line.startsWith("settings")).toList());
                      scenario.play(
                          Files.readAllLines(Path.of("policy/src/test/resources/world.txt")));
                      scenario.play(lines);
                      scenario.assertChecked();
                    }));
  }
}
