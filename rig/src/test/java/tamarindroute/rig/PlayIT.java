package tamarindroute.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs every schedule of the folder. */
class PlayIT {

  private static final Path SCHEDULES = Path.of("rig/src/test/resources/schedules");

  /** A run mostly waits, but with fewer than four cores each, starting processes stall others. */
  private static final int PARALLEL = Math.max(1, Runtime.getRuntime().availableProcessors() / 4);

  @TestFactory
  Stream<DynamicTest> theExpectationsOfEachScheduleHold() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(SCHEDULES)) {
      files = all.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
    }
    assertThat(files).isNotEmpty();
    ExecutorService runs = Executors.newFixedThreadPool(PARALLEL);
    List<DynamicTest> tests =
        files.stream()
            .map(
                file -> {
                  Future<List<String>> run = runs.submit(() -> ScheduleRunner.failures(file));
                  return DynamicTest.dynamicTest(
                      file.getFileName().toString(),
                      () -> assertThat(run.get(5, TimeUnit.MINUTES)).isEmpty());
                })
            .toList();
    runs.shutdown();
    return tests.stream();
  }
}
