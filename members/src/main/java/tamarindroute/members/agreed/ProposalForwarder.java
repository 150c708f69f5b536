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
 * Takes this member's proposals to whoever leads, with a vote of its own or without. Sent on to
 * another it goes on by itself, for nothing has changed then; whatever else it hears, or nothing in
 * time, it says once to who proposed.
 */
final class ProposalForwarder {

  /** Under way at once: a voter bears four times as many of all together. */
  static final int MAX_IN_FLIGHT = 64;

  /** A voter waits as long itself, and the way there and back. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(12);

  /** Each voter once, and the new leader that they tell. */
  private static final int MAX_ATTEMPTS = 8;

  private record PendingProposal(
      Command command, Consumer<ProposalResult> onResult, int attempts, Duration deadline) {}

  private final List<Address> voters;
  private final VoterTransport transport;
  private final Map<Long, PendingProposal> inFlight = new LinkedHashMap<>();

  /** Numbered from the birth on: an answer to a former life's proposal must not count. */
  private long lastNumber;

  ProposalForwarder(Member self, List<Address> voters, VoterTransport transport) {
    this.voters = List.copyOf(voters);
    this.transport = transport;
    this.lastNumber = self.incarnation() * 1_000_003L;
  }

  void propose(
      Command command, Optional<Address> leader, Consumer<ProposalResult> outcome, Duration now) {
    if (inFlight.size() >= MAX_IN_FLIGHT) {
      outcome.accept(
          new ProposalResult(ProposalStatus.BUSY, 0, "too many at once", Optional.empty()));
      return;
    }
    send(new PendingProposal(command, outcome, 0, now.plus(RESPONSE_TIMEOUT)), leader);
  }

  private void send(PendingProposal proposal, Optional<Address> leader) {
    inFlight.put(++lastNumber, proposal);
    Address to = leader.orElse(voters.get(proposal.attempts % voters.size()));
    transport.send(to, AgreementMessageCodec.encodeProposal(lastNumber, proposal.command));
  }

  void onResult(long to, ProposalResult outcome) {
    PendingProposal proposal = inFlight.remove(to);
    if (proposal == null) {
      return;
    }
    if (outcome.status() == ProposalStatus.NOT_LEADER && proposal.attempts + 1 < MAX_ATTEMPTS) {
      send(
          new PendingProposal(
              proposal.command, proposal.onResult, proposal.attempts + 1, proposal.deadline),
          outcome.leader().map(Member::address));
    } else {
      proposal.onResult.accept(outcome);
    }
  }

  /** Gives up those that have heard nothing. */
  void expire(Duration now) {
    Iterator<PendingProposal> iterator = inFlight.values().iterator();
    List<PendingProposal> expired = new ArrayList<>();
    while (iterator.hasNext()) {
      PendingProposal proposal = iterator.next();
      if (now.compareTo(proposal.deadline) >= 0) {
        iterator.remove();
        expired.add(proposal);
      }
    }
    expired.forEach(
        proposal ->
            proposal.onResult.accept(
                new ProposalResult(ProposalStatus.UNKNOWN, 0, "no answer", Optional.empty())));
  }
}
