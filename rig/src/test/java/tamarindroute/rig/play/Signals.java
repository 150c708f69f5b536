package tamarindroute.rig.play;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals through one shell that stays, since starting a program for each costs a starved
 * machine too much.
 */
final class Signals implements AutoCloseable {

  private final Process shell;
  private final Writer in;

  Signals() throws IOException {
    shell =
        new ProcessBuilder("/bin/sh")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    in = shell.outputWriter(StandardCharsets.US_ASCII);
  }

  /** A process of ours, and only while it lives: its id may later be another's. */
  synchronized void send(String signal, Process process) throws IOException {
    if (process.isAlive()) {
      in.write("kill -" + signal + " " + process.pid() + "\n");
      in.flush();
    }
  }

  @Override
  public void close() throws IOException {
    in.close();
    shell.destroy();
  }
}
