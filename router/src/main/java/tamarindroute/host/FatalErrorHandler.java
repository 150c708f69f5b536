package tamarindroute.host;

/**
 * Ends the process when one of its threads has died. Without its event loop or its selector's
 * thread a process would keep its port and answer nothing, and it is started again only once it has
 * ended.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {

  private static final int EXIT_CODE = 1;

  /** Makes this the handler of all threads that have no other. */
  public static void install() {
    Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler());
  }

  @Override
  public void uncaughtException(Thread thread, Throwable failure) {
    try {
      System.err.println("ending, since the thread " + thread.getName() + " has died: " + failure);
    } finally {
      // In a full heap the line may fail, but not this.
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }
}
