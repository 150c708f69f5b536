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
import tamarindroute.log.Log;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.net.Scheduler;

/** The agreed view at one member, with a vote or without; all of it on the owner's thread. */
public final class AgreedViewService {

  /** The others as membership holds them, and the way to them. */
  public interface LocalMembership {

    Member self();

    Map<Member, MemberState> members();

    /** Whether this one runs, hears and is heard, at this very moment. */
    boolean isConnected();

    /** Sends a letter's bytes to whatever life is there. */
    void send(Address to, byte[] bytes);
  }

  /**
   * A quarter of the shortest time that anything here waits; what is due sooner is waited for
   * elsewhere.
   */
  private static final Duration TICK = Duration.ofMillis(250);

  private final Scheduler scheduler;
  private final LocalMembership localMembership;
  private final VoterMessageTransport transport;
  private final LeaseKeeper leaseKeeper;
  private final ProposalForwarder proposals;
  private final Optional<Voter> voting;
  private boolean closed;

  /**
   * Opens the store, where this one votes.
   *
   * @param self what this one is known by
   * @param voters as told alike to all members
   * @param store a voter's file
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
    this.voting =
        voters.contains(self)
            ? Optional.of(new Voter(scheduler, voters, store, transport))
            : Optional.empty();
  }

  /** Takes the first steps, and more from then on. */
  public void tick() throws IOException {
    if (closed) {
      return;
    }
    scheduler.schedule(TICK, this::tickOrLog);
    transport.expirePartialMessages();
    if (voting.isPresent()) {
      voting.get().tick(localMembership, MonotonicClock.now());
    }
    leaseKeeper.tick(MonotonicClock.now());
    proposals.expire(MonotonicClock.now());
  }

  private void tickOrLog() {
    try {
      tick();
    } catch (IOException e) {
      Log.change("agreed", "can't vote: " + e.getMessage());
    }
  }

  /** A letter of another member. */
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
    if (decoded instanceof DecodedMessage.ViewReply
        || decoded instanceof DecodedMessage.ProposalReply) {
      if (leaseKeeper.isVoter(from)) {
        onReply(decoded);
      }
    } else {
      voting.ifPresent(one -> one.onMessage(from, message));
    }
  }

  private void onReply(DecodedMessage decoded) {
    if (decoded instanceof DecodedMessage.ViewReply reply) {
      leaseKeeper.onResponse(reply.response(), MonotonicClock.now());
    } else if (decoded instanceof DecodedMessage.ProposalReply reply) {
      proposals.onResult(reply.proposalNumber(), reply.result());
    }
  }

  /**
   * Proposes at whoever leads; calls back once, on the owner's thread. Where the leader has just
   * died the outcome is unknown after some seconds: what the view has by then tells, or it is
   * proposed again, which changes nothing twice.
   */
  public void propose(Command command, Consumer<Agreement.ProposalResult> onResult) {
    proposals.propose(command, leader(), onResult, MonotonicClock.now());
  }

  /**
   * Where the leader was last; it may lead no more. A voter knows sooner than whoever only asks; it
   * may lead itself.
   */
  public Optional<Address> leader() {
    Optional<Agreement> localAgreement = agreement();
    return localAgreement.isPresent()
        ? localAgreement.get().status().leader().map(Member::address)
        : leaseKeeper.leader();
  }

  /**
   * What is agreed and may be acted on at this moment; empty: out of touch. Asked again ahead of
   * each act.
   */
  public Optional<MembershipView> validView() {
    return leaseKeeper.validView(MonotonicClock.now());
  }

  /** The agreement itself, where this one votes and its store is open. */
  public Optional<Agreement> agreement() {
    return voting.flatMap(Voter::agreement);
  }

  public void close() {
    closed = true;
    transport.close();
    try {
      if (voting.isPresent()) {
        voting.get().close();
      }
    } catch (IOException e) {
      Log.info("agreed", "the store can't be closed: " + e.getMessage());
    }
  }
}
