package tamarindroute.membership;

import java.time.Duration;

/**
 * A member's judgement of itself at one moment.
 *
 * @param connectivity how it stands to the others
 * @param pausedFor how long it did not run if {@link Connectivity#PAUSED}, otherwise zero
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
