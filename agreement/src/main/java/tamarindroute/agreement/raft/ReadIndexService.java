package tamarindroute.agreement.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Answers members' requests for the view, with a lease. One linearizable read serves all requests
 * that arrived before it began. Requests that arrive during a read wait for the next one, as the
 * current read may have begun before they were sent.
 */
final class ReadIndexService {

  /** How long a member may act on a response; covers two changes of the leader and a read. */
  static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /**
   * Most waiting requests: every member of the largest fleet and some repeats. Others are dropped.
   */
  private static final int MAX_WAITING = 8_192;

  private record PendingRequest(Address sender, DecodedMessage.ViewRequest request) {}

  private final RaftOperations operations;
  private final Member self;
  private final ViewStateMachine stateMachine;
  private final VoterTransport transport;
  private List<PendingRequest> waiting = new ArrayList<>();
  private boolean readInProgress;

  ReadIndexService(
      RaftOperations operations,
      Member self,
      ViewStateMachine stateMachine,
      VoterTransport transport) {
    this.operations = operations;
    this.self = self;
    this.stateMachine = stateMachine;
    this.transport = transport;
  }

  void onViewRequest(Address sender, DecodedMessage.ViewRequest request) {
    if (waiting.size() < MAX_WAITING) {
      waiting.add(new PendingRequest(sender, request));
      startNextRead();
    }
  }

  private void startNextRead() {
    if (readInProgress || waiting.isEmpty()) {
      return;
    }
    readInProgress = true;
    List<PendingRequest> served = waiting;
    waiting = new ArrayList<>();
    operations.read(view -> onRead(served, view));
  }

  private void onRead(List<PendingRequest> served, Optional<MembershipView> view) {
    readInProgress = false;
    for (PendingRequest pending : served) {
      ViewResponse response = response(pending.request(), view);
      transport.send(pending.sender(), AgreementMessageCodec.encodeViewReply(response));
    }
    startNextRead();
  }

  private ViewResponse response(DecodedMessage.ViewRequest request, Optional<MembershipView> read) {
    if (read.isEmpty()) {
      Optional<Member> otherLeader = operations.leader().filter(leader -> !leader.equals(self));
      return ViewResponse.notLeader(request.requestNumber(), otherLeader);
    }
    MembershipView view = read.get();
    Optional<List<Command>> commands = commandsFor(request, view);
    return new ViewResponse(
        request.requestNumber(),
        true,
        Optional.of(self),
        LEASE_DURATION,
        view.groupId(),
        commands.isPresent() ? Optional.empty() : read,
        commands.orElse(List.of()));
  }

  /** Returns the commands that lead from the requester's view to the view read, if known. */
  private Optional<List<Command>> commandsFor(
      DecodedMessage.ViewRequest request, MembershipView view) {
    boolean sameGroup = request.heldGroupId() == view.groupId();
    boolean isCurrent = view.number() == stateMachine.view().number();
    return sameGroup && isCurrent
        ? stateMachine.commandsSince(request.heldNumber())
        : Optional.empty();
  }
}
