package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Sends this member's proposals to the leader, whether this member votes or not. A proposal that
 * reached a voter which does not lead is sent on, as nothing has changed by it; every other result,
 * and a timeout, is reported once.
 */
final class ProposalForwarder {

  /** A voter accepts four times as many of all members together. */
  static final int MAX_IN_FLIGHT = 64;

  /** The time that a voter waits for the result, and the way there and back. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(12);

  /** Each voter once, and the new leader that it names. */
  private static final int MAX_ATTEMPTS = 8;

  /** Greater than the number of proposals of an incarnation. */
  private static final long NUMBERS_PER_INCARNATION = 1_000_003L;

  private record PendingProposal(
      Command command, Consumer<ProposalResult> onResult, int attempts, Duration deadline) {

    PendingProposal nextAttempt() {
      return new PendingProposal(command, onResult, attempts + 1, deadline);
    }
  }

  private final List<Address> voters;
  private final VoterTransport transport;
  private final Map<Long, PendingProposal> inFlight = new LinkedHashMap<>();

  /** Starts with the incarnation, so that answers to a former one's proposals do not match. */
  private long lastNumber;

  ProposalForwarder(Member self, List<Address> voters, VoterTransport transport) {
    this.voters = List.copyOf(voters);
    this.transport = transport;
    this.lastNumber = self.incarnation() * NUMBERS_PER_INCARNATION;
  }

  /**
   * Sends a proposal.
   *
   * @param leader where to; the first voter if unknown
   * @param onResult called once
   */
  void propose(
      Command command, Optional<Address> leader, Consumer<ProposalResult> onResult, Duration now) {
    if (inFlight.size() >= MAX_IN_FLIGHT) {
      onResult.accept(failure(ProposalStatus.BUSY, "too many proposals in flight"));
      return;
    }
    send(new PendingProposal(command, onResult, 0, now.plus(RESPONSE_TIMEOUT)), leader);
  }

  private void send(PendingProposal proposal, Optional<Address> leader) {
    lastNumber++;
    inFlight.put(lastNumber, proposal);
    Address recipient = leader.orElse(voters.get(proposal.attempts % voters.size()));
    transport.send(recipient, AgreementMessageCodec.encodeProposal(lastNumber, proposal.command));
  }

  void onResult(long number, ProposalResult result) {
    PendingProposal proposal = inFlight.remove(number);
    if (proposal == null) {
      return;
    }
    if (result.status() == ProposalStatus.NOT_LEADER && proposal.attempts + 1 < MAX_ATTEMPTS) {
      send(proposal.nextAttempt(), result.leader().map(Member::address));
    } else {
      proposal.onResult.accept(result);
    }
  }

  /** Gives up proposals without an answer in time; their results are unknown. */
  void expire(Duration now) {
    List<PendingProposal> expired = new ArrayList<>();
    Iterator<PendingProposal> iterator = inFlight.values().iterator();
    while (iterator.hasNext()) {
      PendingProposal proposal = iterator.next();
      if (now.compareTo(proposal.deadline) >= 0) {
        iterator.remove();
        expired.add(proposal);
      }
    }
    for (PendingProposal proposal : expired) {
      proposal.onResult.accept(failure(ProposalStatus.UNKNOWN, "no answer in time"));
    }
  }

  private static ProposalResult failure(ProposalStatus status, String reason) {
    return new ProposalResult(status, 0, reason, Optional.empty());
  }
}
