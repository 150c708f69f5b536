package tamarindroute.agreement.raft;

import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Replaces a voter by a later incarnation that sends bootstrap offers from the voter's address, if
 * this voter is the leader. The store of the previous incarnation is lost in that case, as the
 * voter would otherwise have kept its identity.
 */
final class VoterReplacement {

  private final Member self;
  private final List<Address> configuredVoters;
  private boolean inProgress;

  VoterReplacement(Member self, List<Address> configuredVoters) {
    this.self = self;
    this.configuredVoters = configuredVoters;
  }

  /**
   * Handles a bootstrap offer. One change is made at a time: a first offer removes the previous
   * incarnation, and a later offer adds its successor.
   *
   * @param from authenticated address of the sender
   * @param successor the incarnation that sent the offer
   */
  void onOffer(Agreement agreement, Address from, Member successor) {
    if (inProgress || !mayJoin(agreement, from, successor)) {
      return;
    }
    Optional<Member> previous =
        agreement.status().voters().stream()
            .filter(voter -> voter.address().equals(from))
            .findFirst();
    if (previous.isPresent() && previous.get().incarnation() > successor.incarnation()) {
      return;
    }
    inProgress = true;
    Member changed = previous.orElse(successor);
    boolean add = previous.isEmpty();
    agreement.changeVoters(changed, add, result -> inProgress = false);
  }

  private boolean mayJoin(Agreement agreement, Address from, Member successor) {
    boolean isConfigured = configuredVoters.contains(from) && successor.address().equals(from);
    boolean isVoter = agreement.status().voters().contains(successor);
    return isConfigured && !isVoter && agreement.status().isLeader() && !successor.equals(self);
  }
}
