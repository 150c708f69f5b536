package tamarindroute.agreement.raft;

import io.microraft.RaftEndpoint;
import tamarindroute.membership.Member;

/**
 * A voter as the library knows it: address and birth, so that a life without its memory is another
 * voter.
 */
record VoterEndpoint(Member member) implements RaftEndpoint {

  @Override
  public Object getId() {
    return member;
  }

  static Member memberOf(RaftEndpoint endpoint) {
    return ((VoterEndpoint) endpoint).member();
  }

  @Override
  public String toString() {
    return member.toString();
  }
}
