package tamarindroute.standby;

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
import tamarindroute.vrrp.Ballot;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrp.Quorum;

/**
 * One gateway's address for advertisements and the virtual routers on it. Peers are those that the
 * settings tell, by address and port; what comes from others, is not sealed as told or makes no
 * sense is dropped with a log line. The addresses in the pseudo header are those of the UDP
 * addresses.
 */
public final class Endpoint {

  /** Who holds a virtual router's address; on the owner's thread. */
  public interface Holder {

    /** Bind, announce, serve. */
    void take();

    /** Unbind; what is open gets the answer that it still may. */
    void drop(Election.Why why);
  }

  private final Scheduler scheduler;
  private final DatagramTransport datagrams;
  private final InetSocketAddress own;
  private final List<InetSocketAddress> peers;
  private final Post post;
  private final Map<Integer, Router> routers = new HashMap<>();
  private final List<InetSocketAddress> voters = new ArrayList<>();
  private Duration span;
  private Booth booth;

  /**
   * Without a seal the plain form of the standard is sent and taken; run is larger at each start of
   * this gateway.
   */
  public Endpoint(
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
    this.post = new Post(datagrams, own, seal, run);
  }

  /**
   * From its start on, whoever is active acts only with the grants of more than half of the voters:
   * these, witnesses among them, and this gateway itself. Needs a seal. The span is the same at
   * all; three intervals are a lease's.
   */
  public void askVoters(List<InetSocketAddress> others, Duration each) {
    if (!post.sealed()) {
      throw new IllegalArgumentException("voters need a seal");
    }
    voters.addAll(others);
    span = each;
  }

  /** Adds a virtual router, not yet started. */
  public Router add(
      int virtualId,
      int priority,
      List<InetAddress> addresses,
      Election.Settings settings,
      Holder holder) {
    Router router = new Router(virtualId, priority, addresses, settings, holder);
    if (routers.putIfAbsent(virtualId, router) != null) {
      throw new IllegalArgumentException("the virtual router " + virtualId + " is there twice");
    }
    return router;
  }

  /** Listens, then starts all routers; on the owner's thread. */
  public void start() throws IOException {
    booth = span == null ? null : new Booth(routers.keySet(), span);
    datagrams.listen(own, (bytes, from, at, answer) -> taken(bytes, from));
    routers.values().forEach(router -> router.event(new Election.Start()));
  }

  /** Stops all routers in order: peers hear of it and need not wait. */
  public void stop() {
    routers.values().forEach(router -> router.event(new Election.Stop()));
  }

  /**
   * A gateway's address as a number of which the higher wins a tie; unsigned bytes in their order,
   * then the port.
   */
  public static long order(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    // The last six bytes tell peers of one network apart, in IPv6 too.
    long order = 0;
    for (int i = Math.max(0, bytes.length - 6); i < bytes.length; i++) {
      order = order << 8 | bytes[i] & 0xFF;
    }
    return order << 16 | address.getPort();
  }

  private void taken(byte[] bytes, InetSocketAddress from) {
    if (!peers.contains(from) && !voters.contains(from)) {
      Log.infoWithFields("vrrp-stranger", "an advertisement from no peer", "from", from);
      return;
    }
    try {
      byte[] message = post.open(bytes, from);
      if (post.sealed() && Ballot.is(message)) {
        ballot(Ballot.read(message), from);
        return;
      }
      if (!peers.contains(from)) {
        throw new MalformedMessageException("an advertisement from a voter that is no peer");
      }
      Advertisement told = Advertisement.read(message, from.getAddress(), own.getAddress());
      Router router = routers.get(told.virtualId());
      if (router == null || !router.addresses.equals(told.addresses())) {
        throw new MalformedMessageException(
            "virtual router "
                + told.virtualId()
                + " with "
                + told.addresses()
                + " is not one of ours");
      }
      router.event(new Election.Heard(told.priority(), order(from), told.interval()));
    } catch (MalformedMessageException e) {
      Log.infoWithFields("vrrp-unreadable", e.getMessage(), "from", from);
    }
  }

  private void ballot(Ballot ballot, InetSocketAddress from) throws MalformedMessageException {
    if (booth == null) {
      throw new MalformedMessageException("a ballot, and there are no voters here");
    }
    if (ballot.kind() == Ballot.Kind.ASKED || ballot.kind() == Ballot.Kind.RETURNED) {
      Ballot answer = booth.taken(ballot, from);
      if (answer != null) {
        send(from, answer);
      }
    } else if (ballot.kind() == Ballot.Kind.GRANTED
        && routers.containsKey(ballot.virtualId())
        && ballot.span().equals(span)
        && voters.contains(from)) {
      routers
          .get(ballot.virtualId())
          .granted(1 + voters.indexOf(from), Duration.ofNanos(ballot.mark()));
    }
  }

  private void send(InetSocketAddress to, Ballot ballot) {
    post.send(to, ballot.write());
  }

  /** One virtual router. */
  public final class Router {

    private final int virtualId;
    private final List<InetAddress> addresses;
    private final Election.Settings settings;
    private final Holder holder;
    private Election.State state;
    private Runnable timer = () -> {};
    private Runnable quorumTimer = () -> {};
    private Quorum quorum;
    private boolean taken;

    private Router(
        int virtualId,
        int priority,
        List<InetAddress> addresses,
        Election.Settings settings,
        Holder holder) {
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
      if (!taken) {
        return false;
      }
      if (!Election.mayAct(state, MonotonicClock.now())) {
        // It was stopped: all is put in order before whoever asked goes on.
        event(new Election.Tick());
      }
      settle();
      return taken;
    }

    /** Takes the address when all that it needs is there, and drops it when any of it is gone. */
    private void settle() {
      boolean may =
          Election.mayAct(state, MonotonicClock.now())
              && (quorum == null || quorum.holds(MonotonicClock.now()));
      if (may && !taken) {
        taken = true;
        Log.infoWithFields("vrrp-taken", "the address is ours", "router", virtualId);
        holder.take();
      } else if (!may && taken) {
        drop(Election.Why.LEASE_OVER);
      }
    }

    private void drop(Election.Why why) {
      taken = false;
      Log.infoWithFields(
          "vrrp-dropped", "the address is given up", "router", virtualId, "why", why);
      holder.drop(why);
    }

    /** The grants asked for at this time; the answers come, or do not. */
    private void askVoters() {
      Duration now = MonotonicClock.now();
      quorum = quorum == null ? Quorum.none(voters.size() + 1) : quorum;
      Ballot ask = new Ballot(Ballot.Kind.ASKED, virtualId, span, now.toNanos());
      Ballot mine = booth.taken(ask, own);
      if (mine != null && mine.kind() == Ballot.Kind.GRANTED) {
        granted(0, now);
      }
      voters.forEach(voter -> send(voter, ask));
    }

    private void granted(int voter, Duration asked) {
      // A time that is none of ours would let a grant count for ever.
      if (state.role() == Election.Role.ACTIVE
          && quorum != null
          && asked.compareTo(MonotonicClock.now()) <= 0) {
        quorum = quorum.granted(voter, asked, span);
        settle();
        quorumTimer.run();
        quorumTimer = scheduler.schedule(span, this::settle);
      }
    }

    /** What was granted is given back, so that the next one need not wait for its end. */
    private void giveBack() {
      if (booth != null) {
        Ballot back = new Ballot(Ballot.Kind.RETURNED, virtualId, span, 0);
        booth.taken(back, own);
        voters.forEach(voter -> send(voter, back));
        quorum = Quorum.none(voters.size() + 1);
      }
    }

    public Election.State state() {
      return state;
    }

    /** How good a candidate this gateway is has changed. */
    public void priority(int now) {
      if (now != state.priority()) {
        Log.infoWithFields(
            "vrrp-priority", "changed", "router", virtualId, "from", state.priority(), "to", now);
        event(new Election.Changed(now));
      }
    }

    /** Gives the address up in order and waits as any other from then on. */
    public void resign() {
      event(new Election.Stop());
      event(new Election.Start());
    }

    private void event(Election.Event event) {
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
      Duration due = Election.due(state);
      if (due != null) {
        timer = scheduler.schedule(due.minus(now), () -> event(new Election.Tick()));
      }
      for (Election.Action action : step.actions()) {
        if (action instanceof Election.Advertise advertise) {
          advertise(advertise.priority());
          if (booth != null && advertise.priority() != Advertisement.STOPS) {
            askVoters();
          }
        } else if (action instanceof Election.Drop drop) {
          if (taken) {
            drop(drop.why());
          }
          giveBack();
        }
      }
      settle();
    }

    private void advertise(int priority) {
      Advertisement advertisement =
          new Advertisement(virtualId, priority, settings.interval(), addresses);
      for (InetSocketAddress peer : peers) {
        post.send(peer, advertisement.write(own.getAddress(), peer.getAddress()));
      }
    }
  }
}
