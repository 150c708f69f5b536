package tamarindroute.agreement.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.report.RaftGroupMembers;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Member;

/**
 * Carries out proposals, reads and voter changes on a MicroRaft node, and converts the outcomes to
 * the results of {@link tamarindroute.agreement.Agreement}.
 */
final class RaftOperations {

  private final EventLoop eventLoop;
  private final RaftNode raftNode;
  private final ViewStateMachine stateMachine;
  private final Member self;
  private final QueryPolicy queryPolicy;

  RaftOperations(
      EventLoop eventLoop,
      RaftNode raftNode,
      ViewStateMachine stateMachine,
      Member self,
      QueryPolicy queryPolicy) {
    this.eventLoop = eventLoop;
    this.raftNode = raftNode;
    this.stateMachine = stateMachine;
    this.self = self;
    this.queryPolicy = queryPolicy;
  }

  /** Returns the leader of the current term; empty if unknown. */
  Optional<Member> leader() {
    return Optional.ofNullable(raftNode.getTerm().getLeaderEndpoint()).map(VoterEndpoint::memberOf);
  }

  void propose(Command command, Consumer<ProposalResult> onResult) {
    Optional<String> violation = findViolation(command);
    if (violation.isPresent()) {
      onResult.accept(result(ProposalStatus.REJECTED, violation.get(), Optional.empty()));
      return;
    }
    CompletableFuture<Ordered<ViewTransitions.Transition>> replication =
        raftNode.replicate(command);
    SingleCompletion.deliver(
        eventLoop,
        replication,
        transition -> onResult.accept(toResult(transition)),
        failure -> onResult.accept(toResult(failure)));
  }

  private static Optional<String> findViolation(Command command) {
    Optional<String> violation = ViewLimits.findViolation(command);
    if (violation.isPresent()) {
      return violation;
    }
    int sizeBytes = ViewCodec.toProto(command).getSerializedSize();
    return sizeBytes > ViewCodec.MAX_COMMAND_BYTES
        ? Optional.of(
            "command of "
                + sizeBytes
                + " bytes, at most "
                + ViewCodec.MAX_COMMAND_BYTES
                + " allowed")
        : Optional.empty();
  }

  private ProposalResult toResult(ViewTransitions.Transition transition) {
    ProposalStatus status =
        transition.rejection().isPresent() ? ProposalStatus.REJECTED : ProposalStatus.COMMITTED;
    return new ProposalResult(
        status, transition.view().number(), transition.rejection().orElse(""), Optional.of(self));
  }

  private ProposalResult toResult(Throwable failure) {
    ProposalStatus status = ProposalStatus.UNKNOWN;
    if (failure instanceof NotLeaderException || failure instanceof IllegalStateException) {
      status = ProposalStatus.NOT_LEADER;
    } else if (failure instanceof CannotReplicateException) {
      status = ProposalStatus.BUSY;
    }
    return result(status, String.valueOf(failure.getMessage()), leader());
  }

  private ProposalResult result(ProposalStatus status, String reason, Optional<Member> leader) {
    return new ProposalResult(status, stateMachine.view().number(), reason, leader);
  }

  void read(Consumer<Optional<MembershipView>> onView) {
    CompletableFuture<Ordered<MembershipView>> query =
        raftNode.query(ViewStateMachine.READ_VIEW, queryPolicy, Optional.empty(), Optional.empty());
    SingleCompletion.deliver(
        eventLoop,
        query,
        view -> onView.accept(Optional.of(view)),
        failure -> onView.accept(Optional.empty()));
  }

  /**
   * Adds or removes a voter. A new voter is added as a learner first, so that its log has caught up
   * before it votes.
   */
  void changeVoters(Member voter, boolean add, Consumer<ProposalResult> onResult) {
    VoterEndpoint endpoint = new VoterEndpoint(voter);
    RaftGroupMembers committed = raftNode.getCommittedMembers();
    boolean isVoter = committed.getVotingMembers().contains(endpoint);
    boolean isMember = committed.getMembers().contains(endpoint);
    if (add ? isVoter : !isMember) {
      onResult.accept(result(ProposalStatus.COMMITTED, "", leader()));
    } else if (!add) {
      changeMembership(endpoint, MembershipChangeMode.REMOVE_MEMBER, onResult);
    } else if (committed.getVotingMembers().size() >= ViewLimits.MAX_VOTERS) {
      String reason =
          "cannot add "
              + voter
              + ": group has "
              + committed.getVotingMembers().size()
              + " voters, at most "
              + ViewLimits.MAX_VOTERS
              + " allowed";
      onResult.accept(result(ProposalStatus.REJECTED, reason, leader()));
    } else if (isMember) {
      promote(endpoint, onResult);
    } else {
      addLearnerThenPromote(endpoint, onResult);
    }
  }

  private void addLearnerThenPromote(VoterEndpoint endpoint, Consumer<ProposalResult> onResult) {
    changeMembership(
        endpoint,
        MembershipChangeMode.ADD_LEARNER,
        added -> {
          if (added.status() == ProposalStatus.COMMITTED) {
            promote(endpoint, onResult);
          } else {
            onResult.accept(added);
          }
        });
  }

  private void promote(VoterEndpoint endpoint, Consumer<ProposalResult> onResult) {
    changeMembership(endpoint, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, onResult);
  }

  private void changeMembership(
      VoterEndpoint endpoint, MembershipChangeMode mode, Consumer<ProposalResult> onResult) {
    long committedIndex = raftNode.getCommittedMembers().getLogIndex();
    SingleCompletion.deliver(
        eventLoop,
        raftNode.changeMembership(endpoint, mode, committedIndex),
        members -> onResult.accept(result(ProposalStatus.COMMITTED, "", leader())),
        failure -> onResult.accept(toResult(failure)));
  }
}
