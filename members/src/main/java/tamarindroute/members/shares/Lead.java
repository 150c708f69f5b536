package tamarindroute.members.shares;

import java.time.Duration;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * What the dealing must be told by whoever knows who leads and who lives. All of it on the owner's
 * thread.
 */
public interface Lead {

  /**
   * This one leads until then, by Steady. Whoever tells it must be sure that nobody else is told so
   * before that; told again in time it goes on, else it begins anew with a wait.
   *
   * @param number of the lead; another at each change
   */
  void leads(long number, Duration until);

  /** This one leads no more, from now on. */
  void leadsNoMore();

  /**
   * Whom to ask for a part, itself perhaps; null where nobody is known to lead. A wrong word costs
   * time, never the bound.
   */
  void leader(Member who);

  /**
   * A sign of life, of whatever kind: a later birth at an address proves that the former life is
   * over.
   */
  void heard(Member who);

  /** By agreed word of an operator nothing runs there, nor will until the word is taken back. */
  void gone(Address place, boolean agreed);
}
