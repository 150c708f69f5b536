package tamarindroute.vrrp;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The grants that a candidate has received from voters. The candidate may act while it holds
 * unexpired grants of more than half of the voters. Immutable.
 *
 * @param voters number of all voters, the candidate among them
 * @param validUntilByVoter time at which each voter's grant expires for the candidate, by the
 *     voter's number from 0; voters that never granted have no entry
 */
public record Quorum(int voters, Map<Integer, Duration> validUntilByVoter) {

  /** Copies the map. */
  public Quorum {
    validUntilByVoter = Map.copyOf(validUntilByVoter);
  }

  /** Returns the quorum of a candidate without grants. */
  public static Quorum withoutGrants(int voters) {
    return new Quorum(voters, Map.of());
  }

  /**
   * Returns the quorum with one more grant. A late answer to an older request does not shorten the
   * voter's grant.
   *
   * @param voter number of the voter
   * @param requestedAt when the candidate sent the request
   * @param grantDuration how long the grant lasts
   */
  public Quorum granted(int voter, Duration requestedAt, Duration grantDuration) {
    Duration validUntil = VoterGrant.validUntil(requestedAt, grantDuration);
    Map<Integer, Duration> merged = new HashMap<>(validUntilByVoter);
    merged.merge(
        voter, validUntil, (known, received) -> known.compareTo(received) > 0 ? known : received);
    return new Quorum(voters, merged);
  }

  /** Whether more than half of the voters' grants are unexpired. */
  public boolean isHeld(Duration now) {
    return validUntilByVoter.values().stream()
            .filter(validUntil -> now.compareTo(validUntil) < 0)
            .count()
        > voters / 2;
  }
}
