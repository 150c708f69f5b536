package tamarindroute.agreement.raft;

import io.microraft.RaftEndpoint;
import tamarindroute.membership.Member;

/**
 * A voter as MicroRaft's endpoint. Identified by address and incarnation, so that a new incarnation
 * without the previous one's store is a different voter.
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
