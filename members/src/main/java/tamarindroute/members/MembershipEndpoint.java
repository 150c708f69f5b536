package tamarindroute.members;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tamarindroute.host.MonotonicClock;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessageCodec;
import tamarindroute.membership.Action;
import tamarindroute.membership.Address;
import tamarindroute.membership.LocalStatus;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.Membership;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;

/**
 * A member's UDP socket and the membership behind it: passes received messages and the time to the
 * membership and performs its actions. Confined to the event loop.
 *
 * <p>The sender of a datagram is known by its sealed contents only, and answers go to the address
 * named there.
 */
public final class MembershipEndpoint {

  /** Receives changes of the membership and payloads of other protocols, on the event loop. */
  public interface Listener {

    /** The state of another member has changed. */
    default void onStateChanged(Member member, MemberState state) {}

    /** The own connectivity has changed. */
    default void onStatusChanged(LocalStatus status) {}

    /** Another member shares facts; authentic, but not decoded yet. */
    default void onFacts(Member from, byte[] bytes) {}

    /** Another member passes on events of the control feed. */
    default void onFeedEvents(Member from, MemberMessage.FeedEventsPayload events) {}

    /** A message about quota leases. */
    default void onLease(Member from, MemberMessage.LeasePayload lease) {}

    /** A fragment of a message of the agreement; authentic, but not decoded yet. */
    default void onAgreementMessage(Member from, byte[] bytes) {}
  }

  /** Leaves time for the gateway's other work on the event loop, whatever is overdue. */
  private static final Duration MIN_STEP_INTERVAL = Duration.ofMillis(1);

  private final Scheduler scheduler;
  private final DatagramTransport datagrams;
  private final MemberConfiguration configuration;
  private final IncarnationFile incarnationFile;
  private final long proposedIncarnation;
  private final SealedChannel channel;
  private final Listener listener;
  private Membership membership;
  private Runnable cancelStep = () -> {};

  /** When the next step is scheduled; null if none is. */
  private Duration nextStepAt;

  private boolean left;

  /**
   * Prepares an endpoint; {@link #start} opens its socket.
   *
   * @param wallMillis the wall clock's time, for the proposed incarnation
   */
  public MembershipEndpoint(
      Scheduler scheduler,
      DatagramTransport datagrams,
      MemberConfiguration configuration,
      long wallMillis,
      Listener listener) {
    this.scheduler = scheduler;
    this.datagrams = datagrams;
    this.configuration = configuration;
    this.incarnationFile = new IncarnationFile(configuration.incarnationFile());
    this.proposedIncarnation = incarnationFile.propose(wallMillis);
    this.channel =
        new SealedChannel(
            configuration.authenticator(), configuration.membershipSettings().maxMembers());
    this.listener = listener;
  }

  /**
   * Listens, and then starts the membership.
   *
   * @throws IOException if the address can't be listened on
   */
  public void start() throws IOException {
    InetSocketAddress listenAddress = configuration.listenAddress();
    try {
      datagrams.listen(listenAddress, (bytes, from, at, answer) -> onDatagram(bytes, from));
    } catch (IOException e) {
      throw new IOException(
          "members: cannot listen on " + listenAddress + ": " + e.getMessage(), e);
    }
    Member self = new Member(configuration.advertisedAddress(), proposedIncarnation);
    incarnationFile.store(proposedIncarnation);
    MembershipLog.listening(MemberConfiguration.toAddress(listenAddress), self);
    membership =
        new Membership(
            configuration.membershipSettings(), self, configuration.seeds(), MonotonicClock.now());
    tick();
  }

  /** Leaves the group in order; nothing is received or sent from then on. */
  public void leave() {
    if (!left && membership != null) {
      left = true;
      cancelStep.run();
      perform(membership.leave(MonotonicClock.now()));
    }
  }

  /** The own status at this moment; to be asked before acting on the states of others. */
  public LocalStatus localStatus() {
    return membership.localStatus(MonotonicClock.now());
  }

  /** The members that are alive or suspect, this one included. */
  public List<Member> liveMembers() {
    return membership.liveMembers();
  }

  /** All other known members with their states. */
  public Map<Member, MemberState> members() {
    return membership.members();
  }

  /** This member with its current incarnation. */
  public Member self() {
    return membership.self();
  }

  /**
   * Sends a payload; it may be lost.
   *
   * @param to the receiver; other incarnations at its address ignore the message
   * @param payload at least 150 bytes shorter than {@link MemberMessageCodec#MAX_MESSAGE_BYTES}
   */
  public void send(Member to, MemberMessage.Payload payload) {
    if (!left) {
      send(to.address(), MemberMessage.of(membership.self(), to.incarnation(), payload));
    }
  }

  /**
   * Finds out whether a machine refuses datagrams to an address, because nobody listens there.
   * Silence says nothing. Does nothing for an address with an override: a refusal of the proxy
   * there would prove nothing.
   *
   * @param to the address in question
   * @param payload sent from a fresh port
   * @param timeout how long to wait for the refusal
   * @param onRefused called if it is refused
   */
  public void probeForRefusal(
      Address to, MemberMessage.Payload payload, Duration timeout, Runnable onRefused) {
    if (left || configuration.addressOverride(to).isPresent()) {
      return;
    }
    Optional<InetSocketAddress> destination = resolve(to);
    if (destination.isEmpty()) {
      return;
    }
    byte[] datagram = channel.seal(MemberMessage.of(membership.self(), 0, payload));
    Runnable cancel = datagrams.query(destination.get(), datagram, new RefusalHandler(onRefused));
    scheduler.schedule(timeout, cancel);
  }

  private void onDatagram(byte[] bytes, InetSocketAddress from) {
    if (left) {
      return;
    }
    try {
      dispatch(channel.open(bytes, membership.self()));
    } catch (MalformedMessageException e) {
      MembershipLog.protocolError(e, from);
    }
  }

  private void dispatch(SealedChannel.Opened opened) {
    MemberMessage message = opened.message();
    MemberMessage.Payload payload = message.payload();
    if (payload instanceof MemberMessage.MembershipPayload membershipPayload) {
      perform(membership.onMessage(membershipPayload.message(), MonotonicClock.now()));
      return;
    }
    if (opened.fromFormerIncarnation() || !isForSelf(message)) {
      return;
    }
    Member sender = message.sender();
    if (payload instanceof MemberMessage.FactsPayload facts) {
      listener.onFacts(sender, facts.bytes());
    } else if (payload instanceof MemberMessage.FeedEventsPayload events) {
      listener.onFeedEvents(sender, events);
    } else if (payload instanceof MemberMessage.AgreementPayload agreement) {
      listener.onAgreementMessage(sender, agreement.bytes());
    } else if (payload instanceof MemberMessage.LeasePayload lease) {
      listener.onLease(sender, lease);
    }
  }

  private boolean isForSelf(MemberMessage message) {
    return message.targetIncarnation() == 0
        || message.targetIncarnation() == membership.self().incarnation();
  }

  private void tick() {
    if (left) {
      return;
    }
    nextStepAt = null;
    try {
      perform(membership.tick(MonotonicClock.now()));
    } finally {
      // Without a next step a member would look alive to operators only.
      scheduleNextStep();
    }
  }

  private void perform(List<Action> actions) {
    actions.forEach(this::perform);
    if (!left) {
      scheduleNextStep();
    }
  }

  private void perform(Action action) {
    if (action instanceof Action.Send send) {
      send(send.to(), MemberMessage.of(send.message()));
    } else if (action instanceof Action.StateChanged change) {
      MembershipLog.stateChanged(change);
      listener.onStateChanged(change.member(), change.state());
    } else if (action instanceof Action.StatusChanged change) {
      MembershipLog.statusChanged(change);
      listener.onStatusChanged(change.status());
    } else if (action instanceof Action.IncarnationRaised raised) {
      incarnationFile.store(raised.self().incarnation());
      MembershipLog.incarnationRaised(raised);
    }
  }

  /** Schedules the membership's next step, unless an earlier one is scheduled. */
  private void scheduleNextStep() {
    Duration now = MonotonicClock.now();
    Duration delay = membership.untilNextTick(now);
    Duration bounded = delay.compareTo(MIN_STEP_INTERVAL) < 0 ? MIN_STEP_INTERVAL : delay;
    Duration wanted = now.plus(bounded);
    if (nextStepAt == null || wanted.compareTo(nextStepAt) < 0) {
      cancelStep.run();
      nextStepAt = wanted;
      cancelStep = scheduler.schedule(bounded, this::tick);
    }
  }

  private void send(Address to, MemberMessage message) {
    configuration
        .addressOverride(to)
        .or(() -> resolve(to))
        .ifPresent(
            destination ->
                datagrams.send(configuration.listenAddress(), destination, channel.seal(message)));
  }

  /** Uses no name server: only numeric hosts are resolved. */
  private static Optional<InetSocketAddress> resolve(Address to) {
    if (!MemberMessageCodec.isNumericHost(to.host())) {
      return Optional.empty();
    }
    try {
      return Optional.of(new InetSocketAddress(InetAddress.getByName(to.host()), to.port()));
    } catch (UnknownHostException e) {
      MembershipLog.unreachable(e, to);
      return Optional.empty();
    }
  }
}
