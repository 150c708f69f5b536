package tamarindroute.host;

import java.io.IOException;

/**
 * What lives beside a front on the same owner's thread, from its start to its end; both are called
 * on that thread.
 */
public interface LifecycleComponent {

  /**
   * The instance is there, nothing read of the feed yet, nobody served. What it can't do without
   * ends the start.
   */
  void onStarted(RouterInstance instance) throws IOException;

  /** The front stops taking in; who must know of it is told at once. */
  void onStopping();
}
