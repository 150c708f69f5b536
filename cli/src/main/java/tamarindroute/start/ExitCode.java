package tamarindroute.start;

/** The exit codes of the process. */
public final class ExitCode {

  /** The command has ended in order, or the service has started. */
  public static final int OK = 0;

  /** Another process, a file or the machine has failed; the message says how. */
  public static final int FAILED = 1;

  /**
   * A configuration file or a frame of the simulator is malformed. Code 2 is for wrong arguments.
   */
  public static final int MALFORMED = 3;

  private ExitCode() {}
}
