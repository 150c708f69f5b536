package tamarindroute.vrrp;

import java.time.Duration;

/**
 * Owns how good a candidate a gateway is: the priority told, less what tracked facts cost. Falls
 * count at once, rises only when the fact has held for a while, so that a fact that comes and goes
 * does not make the address flap. A cold standby stays under every healthy one's priority and so
 * never preempts it. Immutable.
 */
public record Candidacy(int told, int now, Duration betterSince) {

  /**
   * What is tracked.
   *
   * @param listed whether the list of caches is in and the feed not silent
   * @param warm whether the code is compiled and the popularities are there
   * @param reached the part of the location's ready caches that answer from here
   */
  public record Facts(boolean listed, boolean warm, double reached) {}

  /**
   * Without a list a gateway can't place a view: it is a candidate only where there is no other.
   */
  private static final int WITHOUT_LIST = 1;

  /**
   * A cold one comes after every healthy one of priorities as they are given, and before those
   * without a list.
   */
  private static final int COLD_MOST = 20;

  /**
   * A fact must hold for so long before it raises the priority: several times what a list's lag or
   * a probe takes.
   */
  private static final Duration HOLDS = Duration.ofSeconds(10);

  public static Candidacy of(int told) {
    return new Candidacy(told, Math.min(told, WITHOUT_LIST), null);
  }

  /** With the facts as they are at this time. */
  public Candidacy with(Facts facts, Duration at) {
    int worth = worth(facts);
    if (worth <= now) {
      return new Candidacy(told, worth, null);
    }
    Duration since = betterSince == null ? at : betterSince;
    boolean proven = at.minus(since).compareTo(HOLDS) >= 0;
    return proven ? new Candidacy(told, worth, null) : new Candidacy(told, now, since);
  }

  private int worth(Facts facts) {
    if (told == Advertisement.OWNER && facts.listed) {
      return told;
    }
    if (!facts.listed) {
      return Math.min(told, WITHOUT_LIST);
    }
    int least = Math.min(told, WITHOUT_LIST + 1);
    int most = facts.warm ? told : Math.min(told, COLD_MOST);
    double reached = Math.max(0, Math.min(1, facts.reached));
    return (int) Math.max(least, Math.round(most * reached));
  }
}
