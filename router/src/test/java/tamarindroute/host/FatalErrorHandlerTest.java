package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The end of a process one of whose threads has died. */
@Timeout(30)
class FatalErrorHandlerTest {

  /** A process whose event loop dies while another thread lives on. */
  static final class DyingProcess {

    private DyingProcess() {}

    public static void main(String[] arguments) throws Exception {
      FatalErrorHandler.install();
      new EventLoop()
          .execute(
              () -> {
                throw new AssertionError("nothing catches this");
              });
      TimeUnit.MINUTES.sleep(1);
    }
  }

  /** Guards against a gateway that stays, listens and answers nothing more. */
  @Test
  void theProcessEndsWithItsEventLoop() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                DyingProcess.class.getName())
            .redirectErrorStream(true)
            .start();
    try {
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isEqualTo(1);
      assertThat(output).contains("event-loop");
    } finally {
      process.destroyForcibly();
    }
  }
}
