package tamarindroute.rig.play;

import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals through one long-lived shell: starting a program for each would load the machine
 * too much.
 */
final class SignalSender implements Closeable {

  private final Process shell;
  private final Writer input;

  SignalSender() throws IOException {
    shell =
        new ProcessBuilder("/bin/sh")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    input = shell.outputWriter(StandardCharsets.US_ASCII);
  }

  /** Signals a process that this program started, while it lives: its id may be reused later. */
  synchronized void send(String signal, Process process) throws IOException {
    if (process.isAlive()) {
      input.write("kill -" + signal + " " + process.pid() + "\n");
      input.flush();
    }
  }

  @Override
  public void close() throws IOException {
    input.close();
    shell.destroy();
  }
}
