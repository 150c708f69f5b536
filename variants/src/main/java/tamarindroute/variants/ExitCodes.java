package tamarindroute.variants;

import java.io.IOException;
import java.io.PrintStream;

/** The commands' exit codes, and what they print when they fail. */
final class ExitCodes {

  /** All was written. */
  static final int SUCCESS = 0;

  /** Reading or writing failed. */
  static final int FAILED = 1;

  /** The arguments are wrong. */
  static final int USAGE = 2;

  /** The input or the output folder is unusable. */
  static final int INVALID_INPUT = 3;

  private ExitCodes() {}

  /** A command's work. */
  interface Command {
    void run() throws UsageException, InvalidInputException, IOException;
  }

  /**
   * Runs a command and returns its exit code. A failure is printed in one line, a wrong usage with
   * the usage.
   */
  static int codeOf(Command command, String usage, PrintStream errors) {
    try {
      command.run();
      return SUCCESS;
    } catch (UsageException e) {
      errors.println(e.getMessage());
      errors.println(usage);
      return USAGE;
    } catch (InvalidInputException e) {
      errors.println(e.getMessage());
      return INVALID_INPUT;
    } catch (IOException e) {
      errors.println("reading or writing failed: " + e);
      return FAILED;
    }
  }
}
