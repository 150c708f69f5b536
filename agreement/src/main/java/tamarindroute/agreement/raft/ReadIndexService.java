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
 * Answers those who ask for the view. One reading under most voters' word serves all who asked
 * before it began; who asks while one is under way waits for the next, for the one under way may
 * have begun before it asked.
 */
final class ReadIndexService {

  /** How long a member may act on an answer: two changes of the leader, and a reading. */
  static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /**
   * Who waits at once: every member of the largest fleet, and some twice. More are not answered and
   * ask again.
   */
  private static final int MAX_WAITING = 8_192;

  private record PendingRequest(Address sender, DecodedMessage.ViewRequest request) {}

  private final RaftAgreement agreement;
  private final ViewStateMachine stateMachine;
  private final VoterTransport transport;
  private List<PendingRequest> waiting = new ArrayList<>();
  private boolean readInProgress;

  ReadIndexService(
      RaftAgreement agreement, ViewStateMachine stateMachine, VoterTransport transport) {
    this.agreement = agreement;
    this.stateMachine = stateMachine;
    this.transport = transport;
  }

  void onViewRequest(Address from, DecodedMessage.ViewRequest request) {
    if (waiting.size() < MAX_WAITING) {
      waiting.add(new PendingRequest(from, request));
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
    agreement.read(
        view -> {
          readInProgress = false;
          served.forEach(
              one ->
                  transport.send(
                      one.sender(),
                      AgreementMessageCodec.encodeViewReply(respond(one.request(), view))));
          startNextRead();
        });
  }

  private ViewResponse respond(DecodedMessage.ViewRequest request, Optional<MembershipView> read) {
    if (read.isEmpty()) {
      Optional<Member> leader = agreement.leader().filter(one -> !one.equals(agreement.self()));
      return ViewResponse.notLeader(request.requestNumber(), leader);
    }
    MembershipView view = read.get();
    Optional<List<Command>> commands =
        request.heldGroupId() == view.groupId() && view.number() == stateMachine.view().number()
            ? stateMachine.commandsSince(request.heldNumber())
            : Optional.empty();
    return new ViewResponse(
        request.requestNumber(),
        true,
        Optional.of(agreement.self()),
        LEASE_DURATION,
        view.groupId(),
        commands.isPresent() ? Optional.empty() : read,
        commands.orElse(List.of()));
  }
}
