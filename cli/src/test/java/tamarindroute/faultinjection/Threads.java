package tamarindroute.faultinjection;

import java.util.concurrent.TimeUnit;

/** Starting threads and sleeping, for the simulated peers. */
final class Threads {

  private Threads() {}

  /** Starts a daemon thread. */
  static Thread start(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Sleeps; returns early and keeps the interrupt flag when interrupted. */
  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
