package tamarindroute.vrrp;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Owns a candidate's count of the grants it may count on: it may act while more than half of the
 * voters have granted it and none of those grants is over. Immutable.
 *
 * @param voters all voters, the candidate among them
 * @param validUntilByVoter until when each voter's grant counts, by the voter's number
 */
public record Quorum(int voters, Map<Integer, Duration> validUntilByVoter) {

  public Quorum {
    validUntilByVoter = Map.copyOf(validUntilByVoter);
  }

  public static Quorum withoutGrants(int voters) {
    return new Quorum(voters, Map.of());
  }

  /**
   * A voter has granted what was asked of it at this time; an older answer that comes late shortens
   * nothing.
   */
  public Quorum granted(int voter, Duration asked, Duration span) {
    Duration counts = VoterGrant.validUntil(asked, span);
    Map<Integer, Duration> more = new HashMap<>(validUntilByVoter);
    more.merge(voter, counts, (one, other) -> one.compareTo(other) > 0 ? one : other);
    return new Quorum(voters, more);
  }

  public boolean isHeld(Duration now) {
    return validUntilByVoter.values().stream().filter(end -> now.compareTo(end) < 0).count()
        > voters / 2;
  }
}
