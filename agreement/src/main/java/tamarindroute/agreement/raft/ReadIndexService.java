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
 * Responds to members' requests for the view with the view and a lease.
 *
 * <p>One linearizable read (the read index of the Raft thesis, Ongaro 2014, section 6.4) serves all
 * requests that arrived before the read began. Requests that arrive during a read wait for the next
 * read, as the running read may have begun before they were sent.
 */
final class ReadIndexService {

  /** How long a member may act on a response. Covers two changes of the leader and a read. */
  static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /**
   * Largest number of waiting requests: one of each member of the largest fleet, and some repeated
   * requests. Further requests are dropped, and the members send them again.
   */
  private static final int MAX_WAITING_REQUESTS = 8_192;

  private record PendingRequest(Address sender, DecodedMessage.ViewRequest request) {}

  private final RaftOperations operations;
  private final Member self;
  private final ViewStateMachine stateMachine;
  private final VoterTransport transport;
  private List<PendingRequest> waitingRequests = new ArrayList<>();
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
    if (waitingRequests.size() < MAX_WAITING_REQUESTS) {
      waitingRequests.add(new PendingRequest(sender, request));
      startNextRead();
    }
  }

  private void startNextRead() {
    if (readInProgress || waitingRequests.isEmpty()) {
      return;
    }
    readInProgress = true;
    List<PendingRequest> servedRequests = waitingRequests;
    waitingRequests = new ArrayList<>();
    operations.read(view -> onRead(servedRequests, view));
  }

  private void onRead(List<PendingRequest> servedRequests, Optional<MembershipView> view) {
    readInProgress = false;
    for (PendingRequest pending : servedRequests) {
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

  /**
   * Returns the commands that lead from the requester's view to the view that was read; empty if
   * the full view must be sent.
   */
  private Optional<List<Command>> commandsFor(
      DecodedMessage.ViewRequest request, MembershipView view) {
    boolean sameGroup = request.heldGroupId() == view.groupId();
    boolean isCurrent = view.number() == stateMachine.view().number();
    return sameGroup && isCurrent
        ? stateMachine.commandsSince(request.heldNumber())
        : Optional.empty();
  }
}
