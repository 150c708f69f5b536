package tamarindroute.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays every scenario file, each of which guards one rule of the routing policy. The settings of
 * its first line are applied first, followed by the common classes and caches.
 */
class ScenarioTest {

  private static final Path RESOURCES = Path.of("policy/src/test/resources");

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(RESOURCES.resolve("scenarios"))) {
      files = found.sorted().toList();
    }
    return files.stream()
        .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> play(file)));
  }

  private static void play(Path file) throws IOException {
    Scenario scenario = new Scenario();
    List<String> lines = Files.readAllLines(file);
    scenario.play(lines.stream().filter(line -> line.startsWith("settings")).toList());
    scenario.play(Files.readAllLines(RESOURCES.resolve("world.txt")));
    scenario.play(lines);
    scenario.assertChecked();
  }
}
