package tamarindroute.host;

import java.io.IOException;

/**
 * An optional part of the process that starts and stops with a front end; called on the event loop.
 */
public interface LifecycleComponent {

  /**
   * Starts the component, before any event of the feed is read and any client is served.
   *
   * @param instance the instance that the component belongs to
   * @throws IOException if the component lacks something it cannot work without; ends the start of
   *     the process
   */
  void onStarted(RouterInstance instance) throws IOException;

  /** Announces the end: the front end has stopped accepting clients. */
  void onStopping();
}
