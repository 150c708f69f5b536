package tamarindroute.policy;

/**
 * The popularity of one part of an object, an exponential moving average over windows of fixed
 * length.
 */
final class ObjectStatistics {

  /** Length of a window. */
  static final double WINDOW_SECONDS = 5;

  /** Weight of the newest window in the moving average. */
  private static final double SMOOTHING = 0.4;

  /** A time before any request, in seconds since the start of the instance. */
  private static final double NEVER = -1;

  private final double kilobytes;

  /** Requests per second as of the end of the last complete window. */
  private double popularity;

  private int requestsInWindow;

  /** Number of the window in which requests are counted. */
  private long window;

  private boolean hot;
  private double storedAtHome = NEVER;

  /**
   * Creates statistics without requests.
   *
   * @param kilobytes size of the part; 0 if unknown, which is counted as 1 kB
   * @param window number of the current window
   */
  ObjectStatistics(double kilobytes, long window) {
    this.kilobytes = kilobytes > 0 ? kilobytes : 1;
    this.window = window;
  }

  /** Returns the size of the part in kB; 1 if unknown. */
  double kilobytes() {
    return kilobytes;
  }

  /** Whether the object passed its latest ratio test. */
  boolean isHot() {
    return hot;
  }

  void setHot(boolean newHot) {
    hot = newHot;
  }

  /**
   * Returns when the hashed edge last proved to hold the object, in seconds since the start of the
   * instance; negative if never.
   */
  double lastStoredAtHome() {
    return storedAtHome;
  }

  void recordStoredAtHome(double now) {
    storedAtHome = now;
  }

  void recordRequest() {
    requestsInWindow++;
  }

  /** Returns the density: requests per second and kB, as of the end of the last complete window. */
  double density() {
    return popularity / kilobytes;
  }

  /**
   * Updates the popularity to the end of the window before the current one and clears the request
   * count if a new window has begun.
   */
  void advanceTo(long currentWindow) {
    if (currentWindow > window) {
      popularity = (1 - SMOOTHING) * popularity + SMOOTHING * requestsInWindow / WINDOW_SECONDS;
      popularity *= Math.pow(1 - SMOOTHING, (double) (currentWindow - window - 1));
      requestsInWindow = 0;
      window = currentWindow;
    }
  }
}
