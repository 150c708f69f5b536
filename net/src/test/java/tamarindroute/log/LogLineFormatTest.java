package tamarindroute.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.event.Level;

/** The format of the lines that the minimal provider writes. */
class LogLineFormatTest {

  private static String written(Runnable logging) {
    PrintStream before = System.out;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      logging.run();
    } finally {
      System.setOut(before);
    }
    return bytes.toString(StandardCharsets.UTF_8).strip();
  }

  @Test
  void aLineHasTimeTopicMessageFieldsAndSuppressedCount() {
    Logger logger = new MinimalLogProvider().getLoggerFactory().getLogger("tamarindroute");
    assertThat(
            written(
                () ->
                    logger
                        .atInfo()
                        .addKeyValue("topic", "some-topic")
                        .addKeyValue("left_out", 7)
                        .addKeyValue("one", 1)
                        .addKeyValue("two", "b")
                        .log("what happened")))
        .matches("\\d{13} some-topic: what happened one=1 two=b \\(\\+7\\)");
    assertThat(written(() -> logger.atInfo().addKeyValue("topic", "some-topic").log("no more")))
        .matches("\\d{13} some-topic: no more");
  }

  @Test
  void onlyWarningsAndErrorsOfLibrariesAreEnabled() {
    Logger library = new MinimalLogProvider().getLoggerFactory().getLogger("org.other");
    for (Level level : Level.values()) {
      assertThat(library.isEnabledForLevel(level))
          .isEqualTo(level == Level.WARN || level == Level.ERROR);
    }
  }
}
