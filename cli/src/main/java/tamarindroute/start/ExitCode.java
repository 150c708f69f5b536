package tamarindroute.start;

/** Exit codes of the program, beside 0 for success and picocli's 2 for an invalid command line. */
public final class ExitCode {

  /** A peer, a file or the machine failed; the message on standard error says how. */
  public static final int FAILED = 1;

  /** A configuration file or a frame is invalid. */
  public static final int MALFORMED = 3;

  private ExitCode() {}
}
