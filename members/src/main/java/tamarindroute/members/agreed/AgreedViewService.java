package tamarindroute.members.agreed;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.host.MonotonicClock;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.net.Scheduler;

/**
 * The agreed view at one member, whether it votes or not. Confined to the event loop.
 *
 * <p>Every member keeps a lease on the view; a member that is configured as a voter also takes part
 * in the agreement.
 */
public final class AgreedViewService {

  /** The membership of this process as the agreement sees it. */
  public interface LocalMembership {

    /** This member with its current incarnation. */
    Member self();

    /** All other known members with their states. */
    Map<Member, MemberState> members();

    /** Whether the states may be acted on at this moment. */
    boolean isConnected();

    /** Sends a fragment to whatever incarnation is at an address; it may be lost. */
    void send(Address to, byte[] bytes);
  }

  /** A quarter of the shortest time that is waited for here. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  private final Scheduler scheduler;
  private final LocalMembership localMembership;
  private final VoterMessageTransport transport;
  private final LeaseKeeper leaseKeeper;
  private final ProposalForwarder proposals;

  /** Null if this member is not a configured voter. */
  private final Voter voter;

  private boolean closed;

  /**
   * Creates the service; {@link #tick} starts it.
   *
   * @param self this member's address
   * @param voters the configured voters, the same at all members
   * @param store file of a voter's replicated state; not used by other members
   * @throws IOException if this member votes and the store can't be opened
   */
  public AgreedViewService(
      Scheduler scheduler,
      Address self,
      List<Address> voters,
      Path store,
      LocalMembership localMembership)
      throws IOException {
    this.scheduler = scheduler;
    this.localMembership = localMembership;
    this.transport =
        new VoterMessageTransport(scheduler, self, localMembership::send, this::onMessage);
    this.leaseKeeper =
        new LeaseKeeper(localMembership.self(), voters, transport, MonotonicClock.now());
    this.proposals = new ProposalForwarder(localMembership.self(), voters, transport);
    this.voter = voters.contains(self) ? new Voter(scheduler, voters, store, transport) : null;
  }

  /**
   * Does what is due, and schedules the next tick.
   *
   * @throws IOException if a voter's store can't be used; the service goes on without a vote
   */
  public void tick() throws IOException {
    if (closed) {
      return;
    }
    scheduler.schedule(TICK_INTERVAL, this::tickOrLog);
    transport.expirePartialMessages();
    if (voter != null) {
      voter.tick(localMembership, MonotonicClock.now());
    }
    leaseKeeper.tick(MonotonicClock.now());
    proposals.expire(MonotonicClock.now());
  }

  private void tickOrLog() {
    try {
      tick();
    } catch (IOException e) {
      AgreedViewLog.votingFailed(e);
    }
  }

  /** Handles a fragment from another member. */
  public void onPayload(Member from, byte[] bytes) {
    if (!closed) {
      transport.onFragment(from, bytes);
    }
  }

  private void onMessage(Address from, byte[] message) {
    if (closed) {
      return;
    }
    DecodedMessage decoded = DecodedMessage.decode(message).orElse(null);
    if (decoded instanceof DecodedMessage.ViewReply reply) {
      if (leaseKeeper.isVoter(from)) {
        leaseKeeper.onResponse(reply.response(), MonotonicClock.now());
      }
    } else if (decoded instanceof DecodedMessage.ProposalReply reply) {
      if (leaseKeeper.isVoter(from)) {
        proposals.onResult(reply.proposalNumber(), reply.result());
      }
    } else if (voter != null) {
      voter.onMessage(from, message);
    }
  }

  /**
   * Proposes a command to the leader. If the leader fails meanwhile, the result is unknown after
   * some seconds: the view shows what became of it, and proposing it again changes nothing twice.
   *
   * @param onResult called once, on the event loop
   */
  public void propose(Command command, Consumer<Agreement.ProposalResult> onResult) {
    proposals.propose(command, leader(), onResult, MonotonicClock.now());
  }

  /** The address of the leader as last heard; it may be this member's, and out of date. */
  public Optional<Address> leader() {
    Optional<Agreement> localAgreement = agreement();
    return localAgreement.isPresent()
        ? localAgreement.get().status().leader().map(Member::address)
        : leaseKeeper.leader();
  }

  /** The view that may be acted on at this moment, if any; to be asked before each act. */
  public Optional<MembershipView> validView() {
    return leaseKeeper.validView(MonotonicClock.now());
  }

  /** The agreement, if this member votes and its store is open. */
  public Optional<Agreement> agreement() {
    return voter == null ? Optional.empty() : voter.agreement();
  }

  /** Ends the service; a voter's store is kept. */
  public void close() {
    closed = true;
    transport.close();
    if (voter == null) {
      return;
    }
    try {
      voter.close();
    } catch (IOException e) {
      AgreedViewLog.closeFailed(e);
    }
  }
}
