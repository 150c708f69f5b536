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

/** Plays every schedule there is. */
class PlayIT {

  private static final Path SCHEDULES = Path.of("rig/src/test/resources/schedules");

  /**
   * A play is mostly waiting; with less than four cores each, starting processes take too much from
   * one another.
   */
  private static final int ABREAST = Math.max(1, Runtime.getRuntime().availableProcessors() / 4);

  @TestFactory
  Stream<DynamicTest> eachScheduleIsPlayedAndItsExpectationsHold() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(SCHEDULES)) {
      files = all.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
    }
    assertThat(files).isNotEmpty();
    ExecutorService plays = Executors.newFixedThreadPool(ABREAST);
    List<DynamicTest> tests =
        files.stream()
            .map(
                file -> {
                  Future<List<String>> play = plays.submit(() -> Schedules.failures(file));
                  return DynamicTest.dynamicTest(
                      file.getFileName().toString(),
                      () -> assertThat(play.get(5, TimeUnit.MINUTES)).isEmpty());
                })
            .toList();
    plays.shutdown();
    return tests.stream();
  }
}
