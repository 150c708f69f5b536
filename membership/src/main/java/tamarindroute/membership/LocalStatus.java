package tamarindroute.membership;

import java.time.Duration;

/**
 * Status of the local member at one moment, as judged by itself.
 *
 * @param connectivity connectivity to the other members
 * @param pausedFor how long the process did not run if {@link Connectivity#PAUSED}, otherwise zero
 */
public record LocalStatus(Connectivity connectivity, Duration pausedFor) {

  static LocalStatus of(Connectivity connectivity) {
    return new LocalStatus(connectivity, Duration.ZERO);
  }

  /** Whether the states of the other members may be acted on. */
  public boolean isConnected() {
    return connectivity == Connectivity.CONNECTED;
  }
}
