package tamarindroute.agreement.raft;

import io.microraft.RaftEndpoint;
import tamarindroute.membership.Member;

/**
 * A voter as the library knows it: address and birth, so that a life without its memory is another
 * voter.
 */
record Seat(Member member) implements RaftEndpoint {

  @Override
  public Object getId() {
    return member;
  }

  static Member of(RaftEndpoint endpoint) {
    return ((Seat) endpoint).member();
  }

  @Override
  public String toString() {
    return member.toString();
  }
}
