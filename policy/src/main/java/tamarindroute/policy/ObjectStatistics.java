package tamarindroute.policy;

/** The popularity of one part of an object, smoothed from window to window. */
final class ObjectStatistics {

  /** Seconds per window. */
  static final double WINDOW_SECONDS = 5;

  /** Weight of the newest window in the smoothed popularity. */
  private static final double SMOOTHING = 0.4;

  private static final double NEVER = -1;

  private final double kilobytes;
  private double popularity;
  private int requestsInWindow;
  private long window;
  private boolean hot;
  private double storedAtHome = NEVER;

  /**
   * Starts without requests.
   *
   * @param kilobytes size; 0 if unknown, which counts as 1
   * @param window number of the current window
   */
  ObjectStatistics(double kilobytes, long window) {
    this.kilobytes = kilobytes > 0 ? kilobytes : 1;
    this.window = window;
  }

  double kilobytes() {
    return kilobytes;
  }

  /** Whether it passed the latest ratio test. */
  boolean isHot() {
    return hot;
  }

  void setHot(boolean nowHot) {
    hot = nowHot;
  }

  /** Returns when its hashed edge last proved to hold it; negative if never. */
  double lastStoredAtHome() {
    return storedAtHome;
  }

  void recordStoredAtHome(double now) {
    storedAtHome = now;
  }

  void recordRequest() {
    requestsInWindow++;
  }

  /** Returns requests per second over size, as of the end of the last whole window. */
  double density() {
    return popularity / kilobytes;
  }

  /** Brings the popularity to the end of the window before this one. */
  void advanceTo(long currentWindow) {
    if (currentWindow > window) {
      popularity = (1 - SMOOTHING) * popularity + SMOOTHING * requestsInWindow / WINDOW_SECONDS;
      popularity *= Math.pow(1 - SMOOTHING, (double) (currentWindow - window - 1));
      requestsInWindow = 0;
      window = currentWindow;
    }
  }
}
