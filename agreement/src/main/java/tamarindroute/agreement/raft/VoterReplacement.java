package tamarindroute.agreement.raft;

import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * As leader, replaces a voter by a later incarnation that makes offers from its address. The
 * previous incarnation's store is lost then; otherwise the voter would have kept its identity.
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
   * Handles a bootstrap offer of an incarnation at this address. One change is made at a time:
   * first the previous incarnation is removed, on a later offer its successor is added.
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
    boolean votes = agreement.status().voters().contains(successor);
    return isConfigured && !votes && agreement.status().isLeader() && !successor.equals(self);
  }
}
