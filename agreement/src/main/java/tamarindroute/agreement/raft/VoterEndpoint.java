package tamarindroute.agreement.raft;

import io.microraft.RaftEndpoint;
import tamarindroute.membership.Member;

/**
 * A voter as an endpoint of MicroRaft. The endpoint is identified by address and incarnation, so
 * that a new incarnation without the store of the previous incarnation is a different voter.
 */
record VoterEndpoint(Member member) implements RaftEndpoint {

  static Member memberOf(RaftEndpoint endpoint) {
    return ((VoterEndpoint) endpoint).member();
  }

  @Override
  public Object getId() {
    return member;
  }

  @Override
  public String toString() {
    return member.toString();
  }
}
