package tamarindroute.members.shares;

import java.time.Duration;
import java.util.Optional;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Receives what is known of leadership and of the other members. Called on the event loop.
 *
 * <p>The caller of {@link #onLeadership} is responsible for there being one leader at a time.
 */
public interface LeaderStatus {

  /**
   * This member leads. A renewal before the end continues the term, otherwise it starts with a
   * waiting time.
   *
   * @param term number of the term; another after each change of the leader
   * @param until end by the monotonic clock; nobody else leads before it
   */
  void onLeadership(long term, Duration until);

  /** This member does not lead any more. */
  void onLeadershipLost();

  /**
   * Tells whom to ask for leases; it may be this member. A wrong leader costs time, but the quota
   * is kept.
   *
   * @param leader empty if none is known
   */
  void onLeaderKnown(Optional<Member> leader);

  /** A member is alive; a later incarnation proves that the former ones at its address ended. */
  void onMemberSeen(Member member);

  /**
   * An operator confirmed that nothing runs at an address, or took that back.
   *
   * @param confirmed false to take it back
   */
  void onDecommissioned(Address address, boolean confirmed);
}
