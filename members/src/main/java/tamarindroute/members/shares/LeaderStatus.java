package tamarindroute.members.shares;

import java.time.Duration;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * What the dealing must be told by whoever knows who leads and who lives. All of it on the owner's
 * thread.
 */
public interface LeaderStatus {

  /**
   * This one leads until then, by Steady. Whoever tells it must be sure that nobody else is told so
   * before that; told again in time it goes on, else it begins anew with a wait.
   *
   * @param term of the lead; another at each change
   */
  void onLeadership(long term, Duration until);

  /** This one leads no more, from now on. */
  void onLeadershipLost();

  /**
   * Whom to ask for a part, itself perhaps; null where nobody is known to lead. A wrong word costs
   * time, never the bound.
   */
  void onLeaderKnown(Member member);

  /**
   * A sign of life, of whatever kind: a later birth at an address proves that the former life is
   * over.
   */
  void onMemberSeen(Member member);

  /** By agreed word of an operator nothing runs there, nor will until the word is taken back. */
  void onDecommissioned(Address address, boolean confirmed);
}
