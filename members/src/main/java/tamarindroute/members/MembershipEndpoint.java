package tamarindroute.members;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import tamarindroute.host.MonotonicClock;
import tamarindroute.log.Log;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessageCodec;
import tamarindroute.membership.Action;
import tamarindroute.membership.Address;
import tamarindroute.membership.LocalStatus;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.Membership;
import tamarindroute.net.CloseReason;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;

/**
 * One member's socket and its membership: tells it what came and when time has passed, and does
 * what it answers. All of it on the owner's thread. Who a datagram is from is told by its sealed
 * inside alone, and answers go to that name.
 */
public final class MembershipEndpoint {

  /** Who lives on the membership; on the owner's thread. */
  public interface Listener {

    default void onStateChanged(Member member, MemberState state) {}

    default void onStatusChanged(LocalStatus status) {}

    /** What another shares; it is a member's, new and whole, and no more is known of it. */
    default void onFacts(Member from, byte[] bytes) {}

    /** What the feed told another; the same holds. */
    default void onFeedEvents(Member from, MemberMessage.FeedEventsPayload events) {}

    /** A word about shares; the same holds. */
    default void onLease(Member from, MemberMessage.LeasePayload lease) {}

    /** A message of the agreement; the same holds. */
    default void onAgreementMessage(Member from, byte[] bytes) {}
  }

  /**
   * Steps come no closer than this, whatever is overdue: the owner's thread is the gateway's too.
   */
  private static final Duration MIN_STEP_INTERVAL = Duration.ofMillis(1);

  private final Scheduler scheduler;
  private final DatagramTransport datagrams;
  private final MemberConfiguration settings;
  private final IncarnationFile incarnationFile;
  private final long proposedIncarnation;
  private final SealedChannel channel;
  private final Listener listener;
  private Membership membership;
  private Runnable timer = () -> {};
  private Duration nextStepAt;
  private boolean left;

  /** The birth proposed is past the one that the state file tells, near the wall clock's. */
  public MembershipEndpoint(
      Scheduler scheduler,
      DatagramTransport datagrams,
      MemberConfiguration settings,
      long wallMillis,
      Listener listener) {
    this.scheduler = scheduler;
    this.datagrams = datagrams;
    this.settings = settings;
    this.incarnationFile = new IncarnationFile(settings.incarnationFile());
    this.proposedIncarnation = incarnationFile.propose(wallMillis);
    this.channel = new SealedChannel(settings.seal(), settings.membershipSettings().maxMembers());
    this.listener = listener;
  }

  /** Listens and takes the first steps; the membership begins once it can be heard, not before. */
  public void start() throws IOException {
    try {
      datagrams.listen(
          settings.listenAddress(), (bytes, from, at, answer) -> onDatagram(bytes, from));
    } catch (IOException e) {
      throw new IOException(
          "members: cannot listen on " + settings.listenAddress() + ": " + e.getMessage(), e);
    }
    Member self = new Member(settings.advertisedAddress(), proposedIncarnation);
    incarnationFile.store(proposedIncarnation);
    Log.change(
        "members",
        "listening on "
            + MemberConfiguration.toAddress(settings.listenAddress())
            + ", self "
            + self);
    membership =
        new Membership(settings.membershipSettings(), self, settings.seeds(), MonotonicClock.now());
    tick();
  }

  /** Goes in order: the others hear of it and need not find out. */
  public void leave() {
    if (!left && membership != null) {
      left = true;
      timer.run();
      performAll(membership.leave(MonotonicClock.now()));
    }
  }

  /** One's own condition at this very moment; asked before acting on what is held of others. */
  public LocalStatus localStatus() {
    return membership.localStatus(MonotonicClock.now());
  }

  /** Those held alive or suspect, and oneself. */
  public List<Member> liveMembers() {
    return membership.liveMembers();
  }

  public Map<Member, MemberState> members() {
    return membership.members();
  }

  public Member self() {
    return membership.self();
  }

  /**
   * Sends another kind of letter to a life; it may be lost. It is shorter than Envelopes.LARGEST by
   * 150 bytes.
   */
  public void send(Member to, MemberMessage.Payload payload) {
    if (left) {
      return;
    }
    send(to.address(), MemberMessage.of(membership.self(), to.incarnation(), payload));
  }

  /**
   * Asks a machine, from a fresh port, whether anybody listens there; told only if it refuses.
   * Where a proxy stands between nothing is asked: its refusal would prove nothing.
   */
  public void probeForRefusal(
      Address to, MemberMessage.Payload payload, Duration timeout, Runnable onRefused) {
    InetSocketAddress destination =
        settings.addressOverrides().containsKey(to) ? null : resolve(to);
    if (left || destination == null) {
      return;
    }
    Runnable cancel =
        datagrams.query(
            destination,
            channel.seal(MemberMessage.of(membership.self(), 0, payload)),
            new DatagramTransport.ReplyHandler() {
              @Override
              public void onReply(byte[] bytes) {}

              @Override
              public void onClosed(CloseReason closeReason) {
                if (closeReason == CloseReason.REFUSED) {
                  onRefused.run();
                }
              }
            });
    scheduler.schedule(timeout, cancel);
  }

  private void onDatagram(byte[] bytes, InetSocketAddress from) {
    if (left) {
      return;
    }
    try {
      SealedChannel.Opened opened = channel.open(bytes, membership.self());
      dispatch(opened.message(), opened.fromFormerIncarnation());
    } catch (MalformedMessageException e) {
      Log.infoWithFields("member-unreadable", e.getMessage(), "from", from);
    }
  }

  private void dispatch(MemberMessage message, boolean fromFormerIncarnation) {
    if (message.payload() instanceof MemberMessage.MembershipPayload membershipPayload) {
      performAll(membership.onMessage(membershipPayload.message(), MonotonicClock.now()));
    } else if (!fromFormerIncarnation
        && (message.targetIncarnation() == 0
            || message.targetIncarnation() == membership.self().incarnation())) {
      if (message.payload() instanceof MemberMessage.FactsPayload facts) {
        listener.onFacts(message.sender(), facts.bytes());
      } else if (message.payload() instanceof MemberMessage.FeedEventsPayload events) {
        listener.onFeedEvents(message.sender(), events);
      } else if (message.payload() instanceof MemberMessage.AgreementPayload agreement) {
        listener.onAgreementMessage(message.sender(), agreement.bytes());
      } else if (message.payload() instanceof MemberMessage.LeasePayload lease) {
        listener.onLease(message.sender(), lease);
      }
    }
  }

  private void tick() {
    if (left) {
      return;
    }
    nextStepAt = null;
    try {
      performAll(membership.tick(MonotonicClock.now()));
    } finally {
      // Also after a defect: a member that never took a step again would look alive to operators
      // alone.
      scheduleNextStep();
    }
  }

  /** Does what the membership wants done. */
  private void performAll(List<Action> actions) {
    actions.forEach(this::perform);
    if (!left) {
      scheduleNextStep();
    }
  }

  private void perform(Action action) {
    if (action instanceof Action.Send sendAction) {
      send(sendAction.to(), MemberMessage.of(sendAction.message()));
    } else if (action instanceof Action.StateChanged stateChanged) {
      Log.change("member", stateChanged.member() + " " + describe(stateChanged.state()));
      listener.onStateChanged(stateChanged.member(), stateChanged.state());
    } else if (action instanceof Action.StatusChanged statusChanged) {
      Log.change("touch", describe(statusChanged.status()));
      listener.onStatusChanged(statusChanged.status());
    } else if (action instanceof Action.IncarnationRaised raised) {
      incarnationFile.store(raised.self().incarnation());
      Log.change(
          "members", "self " + raised.self() + ", as a later life than ours was here before");
    }
  }

  /** Waits for the next step, unless an earlier one is waited for. */
  private void scheduleNextStep() {
    Duration now = MonotonicClock.now();
    Duration delay = membership.untilNextTick(now);
    Duration nextStep =
        now.plus(delay.compareTo(MIN_STEP_INTERVAL) < 0 ? MIN_STEP_INTERVAL : delay);
    if (nextStepAt == null || nextStep.compareTo(nextStepAt) < 0) {
      timer.run();
      nextStepAt = nextStep;
      timer = scheduler.schedule(nextStep.minus(now), this::tick);
    }
  }

  private static String describe(MemberState state) {
    return switch (state) {
      case JOINING -> "joining";
      case ALIVE -> "alive";
      case SUSPECT -> "suspect";
      case FAULTY -> "away";
      case LEFT -> "left";
    };
  }

  private static String describe(LocalStatus status) {
    return switch (status.connectivity()) {
      case JOINING -> "joining";
      case CONNECTED -> "in touch";
      case PAUSED -> "paused " + status.pausedFor().toMillis() + " ms";
      case ISOLATED -> "cut off";
      case LEFT -> "left";
    };
  }

  private void send(Address to, MemberMessage message) {
    InetSocketAddress destination =
        settings.addressOverrides().containsKey(to)
            ? settings.addressOverrides().get(to)
            : resolve(to);
    if (destination != null) {
      datagrams.send(settings.listenAddress(), destination, channel.seal(message));
    }
  }

  /** Asks no name server: only numeric hosts pass the settings and the reading of letters. */
  private static InetSocketAddress resolve(Address to) {
    try {
      return MemberMessageCodec.isNumericHost(to.host())
          ? new InetSocketAddress(InetAddress.getByName(to.host()), to.port())
          : null;
    } catch (UnknownHostException e) {
      Log.infoWithFields("member-unreachable", e.getMessage(), "to", to);
      return null;
    }
  }
}
