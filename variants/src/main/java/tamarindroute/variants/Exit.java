package tamarindroute.variants;

import java.io.IOException;
import java.io.PrintStream;

/** How the commands end: their exit codes and what they print when they fail. */
final class Exit {

  static final int DONE = 0;
  static final int FAILED = 1;
  static final int USAGE = 2;
  static final int REFUSED = 3;

  private Exit() {}

  /** A command's work. */
  interface Command {
    void run() throws UsageException, RefusedException, IOException;
  }

  /**
   * Runs a command and returns its exit code; a failure is told in one line, a wrong usage with the
   * usage.
   */
  static int codeOf(Command command, String usage, PrintStream errors) {
    try {
      command.run();
      return DONE;
    } catch (UsageException wrong) {
      errors.println(wrong.getMessage());
      errors.println(usage);
      return USAGE;
    } catch (RefusedException refused) {
      errors.println(refused.getMessage());
      return REFUSED;
    } catch (IOException failed) {
      errors.println("reading or writing failed: " + failed);
      return FAILED;
    }
  }
}
