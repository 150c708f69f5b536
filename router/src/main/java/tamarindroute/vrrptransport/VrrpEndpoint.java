package tamarindroute.vrrptransport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tamarindroute.host.MonotonicClock;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;
import tamarindroute.vrrp.Advertisement;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrp.GrantMessage;
import tamarindroute.vrrp.Quorum;

/**
 * One gateway's address for advertisements and the virtual routers on it. Peers are those that the
 * settings tell, by address and port; what comes from others, is not sealed as told or makes no
 * sense is dropped with a log line. The addresses in the pseudo header are those of the UDP
 * addresses.
 */
public final class VrrpEndpoint {

  /** Who holds a virtual router's address; on the owner's thread. */
  public interface AddressHolder {

    /** Bind, announce, serve. */
    void onTaken();

    /** Unbind; what is open gets the answer that it still may. */
    void onReleased(Election.ReleaseReason why);
  }

  private final Scheduler scheduler;
  private final DatagramTransport datagrams;
  private final InetSocketAddress own;
  private final List<InetSocketAddress> peers;
  private final SealedDatagrams channel;
  private final Map<Integer, VirtualRouter> routers = new HashMap<>();
  private final List<InetSocketAddress> voters = new ArrayList<>();
  private Duration grantSpan;
  private GrantService grantService;

  /**
   * Without a seal the plain form of the standard is sent and taken; run is larger at each start of
   * this gateway.
   */
  public VrrpEndpoint(
      Scheduler scheduler,
      DatagramTransport datagrams,
      InetSocketAddress own,
      List<InetSocketAddress> peers,
      MessageAuthenticator seal,
      long run) {
    this.scheduler = scheduler;
    this.datagrams = datagrams;
    this.own = own;
    this.peers = List.copyOf(peers);
    this.channel = new SealedDatagrams(datagrams, own, seal, run);
  }

  /**
   * From its start on, whoever is active acts only with the grants of more than half of the voters:
   * these, witnesses among them, and this gateway itself. Needs a seal. The span is the same at
   * all; three intervals are a lease's.
   */
  public void requireVoters(List<InetSocketAddress> others, Duration each) {
    if (!channel.isSealed()) {
      throw new IllegalArgumentException("voters need a seal");
    }
    voters.addAll(others);
    grantSpan = each;
  }

  /** Adds a virtual router, not yet started. */
  public VirtualRouter add(
      int virtualId,
      int priority,
      List<InetAddress> addresses,
      Election.Settings settings,
      AddressHolder holder) {
    VirtualRouter router = new VirtualRouter(virtualId, priority, addresses, settings, holder);
    if (routers.putIfAbsent(virtualId, router) != null) {
      throw new IllegalArgumentException("the virtual router " + virtualId + " is there twice");
    }
    return router;
  }

  /** Listens, then starts all routers; on the owner's thread. */
  public void start() throws IOException {
    grantService = grantSpan == null ? null : new GrantService(routers.keySet(), grantSpan);
    datagrams.listen(own, (bytes, from, at, answer) -> onDatagram(bytes, from));
    routers.values().forEach(router -> router.handle(new Election.Startup()));
  }

  /** Stops all routers in order: peers hear of it and need not wait. */
  public void stop() {
    routers.values().forEach(router -> router.handle(new Election.Shutdown()));
  }

  /**
   * A gateway's address as a number of which the higher wins a tie; unsigned bytes in their order,
   * then the port.
   */
  public static long tieBreaker(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    // The last six bytes tell peers of one network apart, in IPv6 too.
    long order = 0;
    for (int i = Math.max(0, bytes.length - 6); i < bytes.length; i++) {
      order = (order << 8) | (bytes[i] & 0xFF);
    }
    return order << 16 | address.getPort();
  }

  private void onDatagram(byte[] bytes, InetSocketAddress from) {
    if (!peers.contains(from) && !voters.contains(from)) {
      Log.infoWithFields("vrrp-stranger", "an advertisement from no peer", "from", from);
      return;
    }
    try {
      byte[] message = channel.open(bytes, from);
      if (channel.isSealed() && GrantMessage.isGrantMessage(message)) {
        ballot(GrantMessage.decode(message), from);
        return;
      }
      if (!peers.contains(from)) {
        throw new MalformedMessageException("an advertisement from a voter that is no peer");
      }
      Advertisement told = Advertisement.decode(message, from.getAddress(), own.getAddress());
      VirtualRouter router = routers.get(told.virtualId());
      if (router == null || !router.addresses.equals(told.addresses())) {
        throw new MalformedMessageException(
            "virtual router "
                + told.virtualId()
                + " with "
                + told.addresses()
                + " is not one of ours");
      }
      router.handle(
          new Election.AdvertisementReceived(told.priority(), tieBreaker(from), told.interval()));
    } catch (MalformedMessageException e) {
      Log.infoWithFields("vrrp-unreadable", e.getMessage(), "from", from);
    }
  }

  private void ballot(GrantMessage message, InetSocketAddress from)
      throws MalformedMessageException {
    if (grantService == null) {
      throw new MalformedMessageException("a ballot, and there are no voters here");
    }
    if (message.type() == GrantMessage.MessageType.REQUEST
        || message.type() == GrantMessage.MessageType.RELEASE) {
      GrantMessage answer = grantService.onMessage(message, from);
      if (answer != null) {
        send(from, answer);
      }
    } else if (message.type() == GrantMessage.MessageType.GRANTED
        && routers.containsKey(message.virtualId())
        && message.span().equals(grantSpan)
        && voters.contains(from)) {
      routers
          .get(message.virtualId())
          .onGranted(1 + voters.indexOf(from), Duration.ofNanos(message.requestToken()));
    }
  }

  private void send(InetSocketAddress to, GrantMessage message) {
    channel.send(to, message.encode());
  }

  /** One virtual router. */
  public final class VirtualRouter {

    private final int virtualId;
    private final List<InetAddress> addresses;
    private final Election.Settings settings;
    private final AddressHolder holder;
    private Election.State state;
    private Runnable timer = () -> {};
    private Runnable quorumTimer = () -> {};
    private Quorum quorum;
    private boolean addressTaken;

    private VirtualRouter(
        int virtualId,
        int priority,
        List<InetAddress> addresses,
        Election.Settings settings,
        AddressHolder holder) {
      this.virtualId = virtualId;
      this.addresses = List.copyOf(addresses);
      this.settings = settings;
      this.holder = holder;
      this.state = Election.initial(priority, settings);
    }

    /**
     * Whether this gateway may act for the address now; asked before each taking in and each write.
     */
    public boolean mayAct() {
      if (!addressTaken) {
        return false;
      }
      if (!Election.mayAct(state, MonotonicClock.now())) {
        // It was stopped: all is put in order before whoever asked goes on.
        handle(new Election.Tick());
      }
      updateAddress();
      return addressTaken;
    }

    /** Takes the address when all that it needs is there, and drops it when any of it is gone. */
    private void updateAddress() {
      boolean may =
          Election.mayAct(state, MonotonicClock.now())
              && (quorum == null || quorum.isHeld(MonotonicClock.now()));
      if (may && !addressTaken) {
        addressTaken = true;
        Log.infoWithFields("vrrp-taken", "the address is ours", "router", virtualId);
        holder.onTaken();
      } else if (!may && addressTaken) {
        drop(Election.ReleaseReason.LEASE_EXPIRED);
      }
    }

    private void drop(Election.ReleaseReason why) {
      addressTaken = false;
      Log.infoWithFields(
          "vrrp-dropped", "the address is given up", "router", virtualId, "why", why);
      holder.onReleased(why);
    }

    /** The grants asked for at this time; the answers come, or do not. */
    private void requestGrants() {
      Duration now = MonotonicClock.now();
      quorum = quorum == null ? Quorum.withoutGrants(voters.size() + 1) : quorum;
      GrantMessage ask =
          new GrantMessage(GrantMessage.MessageType.REQUEST, virtualId, grantSpan, now.toNanos());
      GrantMessage mine = grantService.onMessage(ask, own);
      if (mine != null && mine.type() == GrantMessage.MessageType.GRANTED) {
        onGranted(0, now);
      }
      voters.forEach(voter -> send(voter, ask));
    }

    private void onGranted(int voter, Duration asked) {
      // A time that is none of ours would let a grant count for ever.
      if (state.role() == Election.Role.ACTIVE
          && quorum != null
          && asked.compareTo(MonotonicClock.now()) <= 0) {
        quorum = quorum.granted(voter, asked, grantSpan);
        updateAddress();
        quorumTimer.run();
        quorumTimer = scheduler.schedule(grantSpan, this::updateAddress);
      }
    }

    /** What was granted is given back, so that the next one need not wait for its end. */
    private void releaseGrants() {
      if (grantService != null) {
        GrantMessage back =
            new GrantMessage(GrantMessage.MessageType.RELEASE, virtualId, grantSpan, 0);
        grantService.onMessage(back, own);
        voters.forEach(voter -> send(voter, back));
        quorum = Quorum.withoutGrants(voters.size() + 1);
      }
    }

    public Election.State state() {
      return state;
    }

    /** How good a candidate this gateway is has changed. */
    public void setPriority(int now) {
      if (now != state.priority()) {
        Log.infoWithFields(
            "vrrp-priority", "changed", "router", virtualId, "from", state.priority(), "to", now);
        handle(new Election.PriorityChanged(now));
      }
    }

    /** Gives the address up in order and waits as any other from then on. */
    public void resign() {
      handle(new Election.Shutdown());
      handle(new Election.Startup());
    }

    private void handle(Election.Event event) {
      Election.Role before = state.role();
      Duration now = MonotonicClock.now();
      Election.Step step = Election.next(state, event, now, settings);
      state = step.state();
      if (before != state.role()) {
        // A topic for each role: the guard of one line a second must not hide that an address
        // changed hands.
        Log.infoWithFields(
            "vrrp-" + state.role().name().toLowerCase(Locale.ROOT),
            "was " + before,
            "router",
            virtualId,
            "event",
            event,
            "priority",
            state.priority());
      }
      timer.run();
      Duration due = Election.nextDeadline(state);
      if (due != null) {
        timer = scheduler.schedule(due.minus(now), () -> handle(new Election.Tick()));
      }
      for (Election.Action action : step.actions()) {
        if (action instanceof Election.SendAdvertisement advertise) {
          advertise(advertise.priority());
          if (grantService != null && advertise.priority() != Advertisement.RESIGN_PRIORITY) {
            requestGrants();
          }
        } else if (action instanceof Election.ReleaseAddress release) {
          if (addressTaken) {
            drop(release.reason());
          }
          releaseGrants();
        }
      }
      updateAddress();
    }

    private void advertise(int priority) {
      Advertisement advertisement =
          new Advertisement(virtualId, priority, settings.interval(), addresses);
      for (InetSocketAddress peer : peers) {
        channel.send(peer, advertisement.encode(own.getAddress(), peer.getAddress()));
      }
    }
  }
}
