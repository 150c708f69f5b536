package tamarindroute.vrrp;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Owns a candidate's count of the grants it may count on: it may act while more than half of the
 * voters have granted it and none of those grants is over. Immutable.
 *
 * @param voters all voters, the candidate among them
 * @param until until when each voter's grant counts, by the voter's number
 */
public record Quorum(int voters, Map<Integer, Duration> until) {

  public Quorum {
    until = Map.copyOf(until);
  }

  public static Quorum none(int voters) {
    return new Quorum(voters, Map.of());
  }

  /**
   * A voter has granted what was asked of it at this time; an older answer that comes late shortens
   * nothing.
   */
  public Quorum granted(int voter, Duration asked, Duration span) {
    Duration counts = Grants.countsUntil(asked, span);
    Map<Integer, Duration> more = new HashMap<>(until);
    more.merge(voter, counts, (one, other) -> one.compareTo(other) > 0 ? one : other);
    return new Quorum(voters, more);
  }

  public boolean holds(Duration now) {
    return until.values().stream().filter(end -> now.compareTo(end) < 0).count() > voters / 2;
  }
}
