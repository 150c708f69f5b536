package tamarindroute.members;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tamarindroute.host.Steady;
import tamarindroute.log.Log;
import tamarindroute.members.wire.Envelopes;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Action;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Membership;
import tamarindroute.membership.Standing;
import tamarindroute.net.Datagrams;
import tamarindroute.net.Ending;
import tamarindroute.net.Timers;
import tamarindroute.protocol.MalformedException;

/**
 * One member's socket and its membership: tells it what came and when time has passed, and does
 * what it answers. All of it on the owner's thread. Who a datagram is from is told by its sealed
 * inside alone, and answers go to that name.
 */
public final class Endpoint {

  /** Who lives on the membership; on the owner's thread. */
  public interface Listener {

    default void became(Member about, Standing standing) {}

    default void touch(Action.State state) {}

    /** What another shares; it is a member's, new and whole, and no more is known of it. */
    default void facts(Member from, byte[] bytes) {}

    /** What the feed told another; the same holds. */
    default void news(Member from, Letter.News news) {}

    /** A word about shares; the same holds. */
    default void lease(Member from, Letter.Lease word) {}

    /** A message of the agreement; the same holds. */
    default void agreement(Member from, byte[] bytes) {}
  }

  /**
   * Steps come no closer than this, whatever is overdue: the owner's thread is the gateway's too.
   */
  private static final Duration LEAST = Duration.ofMillis(1);

  private final Timers timers;
  private final Datagrams datagrams;
  private final MembersSettings settings;
  private final Birth birth;
  private final long proposed;
  private final Post post;
  private final Listener listener;
  private Membership membership;
  private Runnable timer = () -> {};
  private Duration due;
  private boolean left;

  /** The birth proposed is past the one that the state file tells, near the wall clock's. */
  public Endpoint(
      Timers timers,
      Datagrams datagrams,
      MembersSettings settings,
      long wallMillis,
      Listener listener) {
    this.timers = timers;
    this.datagrams = datagrams;
    this.settings = settings;
    this.birth = new Birth(settings.state());
    this.proposed = birth.propose(wallMillis);
    this.post = new Post(settings.seal(), settings.membership().members());
    this.listener = listener;
  }

  /** Listens and takes the first steps; the membership begins once it can be heard, not before. */
  public void start() throws IOException {
    try {
      datagrams.listen(settings.listen(), (bytes, from, at, answer) -> taken(bytes, from));
    } catch (IOException e) {
      throw new IOException(
          "members: cannot listen on " + settings.listen() + ": " + e.getMessage(), e);
    }
    Member self = new Member(settings.name(), proposed);
    birth.keep(proposed);
    Log.change(
        "members", "listening on " + MembersSettings.address(settings.listen()) + ", self " + self);
    membership = new Membership(settings.membership(), self, settings.seeds(), Steady.now());
    tick();
  }

  /** Goes in order: the others hear of it and need not find out. */
  public void leave() {
    if (!left && membership != null) {
      left = true;
      timer.run();
      step(membership.leave(Steady.now()));
    }
  }

  /** One's own condition at this very moment; asked before acting on what is held of others. */
  public Action.State touch() {
    return membership.touch(Steady.now());
  }

  /** Those held alive or suspect, and oneself. */
  public List<Member> alive() {
    return membership.alive();
  }

  public Map<Member, Standing> members() {
    return membership.members();
  }

  public Member self() {
    return membership.self();
  }

  /**
   * Sends another kind of letter to a life; it may be lost. It is shorter than Envelopes.LARGEST by
   * 150 bytes.
   */
  public void send(Member to, Letter.Body body) {
    if (left) {
      return;
    }
    send(to.address(), Letter.of(membership.self(), to.birth(), body));
  }

  /**
   * Asks a machine, from a fresh port, whether anybody listens there; told only if it refuses.
   * Where a proxy stands between nothing is asked: its refusal would prove nothing.
   */
  public void probe(Address to, Letter.Body body, Duration within, Runnable refused) {
    InetSocketAddress place = settings.ways().containsKey(to) ? null : straight(to);
    if (left || place == null) {
      return;
    }
    Runnable quit =
        datagrams.ask(
            place,
            post.seal(Letter.of(membership.self(), 0, body)),
            new Datagrams.Waiting() {
              @Override
              public void came(byte[] bytes) {}

              @Override
              public void ended(Ending ending) {
                if (ending == Ending.REFUSED) {
                  refused.run();
                }
              }
            });
    timers.after(within, quit);
  }

  private void taken(byte[] bytes, InetSocketAddress from) {
    if (left) {
      return;
    }
    try {
      Post.Opened opened = post.open(bytes, membership.self());
      hand(opened.letter(), opened.former());
    } catch (MalformedException e) {
      Log.event("member-unreadable", e.getMessage(), "from", from);
    }
  }

  private void hand(Letter letter, boolean former) {
    if (letter.body() instanceof Letter.Said said) {
      step(membership.told(said.message(), Steady.now()));
    } else if (!former
        && (letter.toBirth() == 0 || letter.toBirth() == membership.self().birth())) {
      if (letter.body() instanceof Letter.Facts facts) {
        listener.facts(letter.sender(), facts.bytes());
      } else if (letter.body() instanceof Letter.News news) {
        listener.news(letter.sender(), news);
      } else if (letter.body() instanceof Letter.Agreement agreement) {
        listener.agreement(letter.sender(), agreement.bytes());
      } else if (letter.body() instanceof Letter.Lease lease) {
        listener.lease(letter.sender(), lease);
      }
    }
  }

  private void tick() {
    if (left) {
      return;
    }
    due = null;
    try {
      step(membership.tick(Steady.now()));
    } finally {
      // Also after a defect: a member that never took a step again would look alive to operators
      // alone.
      await();
    }
  }

  /** Does what the membership wants done. */
  private void step(List<Action> actions) {
    actions.forEach(this::act);
    if (!left) {
      await();
    }
  }

  private void act(Action action) {
    if (action instanceof Action.Send send) {
      send(send.to(), Letter.of(send.message()));
    } else if (action instanceof Action.Became became) {
      Log.change(
          "member", became.about() + " " + became.standing().name().toLowerCase(Locale.ROOT));
      listener.became(became.about(), became.standing());
    } else if (action instanceof Action.Touch touch) {
      Log.change("touch", words(touch.state()));
      listener.touch(touch.state());
    } else if (action instanceof Action.Reborn reborn) {
      birth.keep(reborn.self().birth());
      Log.change(
          "members", "self " + reborn.self() + ", as a later life than ours was here before");
    }
  }

  /** Waits for the next step, unless an earlier one is waited for. */
  private void await() {
    Duration now = Steady.now();
    Duration span = membership.wake(now);
    Duration wake = now.plus(span.compareTo(LEAST) < 0 ? LEAST : span);
    if (due == null || wake.compareTo(due) < 0) {
      timer.run();
      due = wake;
      timer = timers.after(wake.minus(now), this::tick);
    }
  }

  private static String words(Action.State state) {
    String condition = state.condition().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    return state.condition() == Action.Condition.PAUSED
        ? condition + " " + state.span().toMillis() + " ms"
        : condition;
  }

  private void send(Address to, Letter letter) {
    InetSocketAddress way =
        settings.ways().containsKey(to) ? settings.ways().get(to) : straight(to);
    if (way != null) {
      datagrams.send(settings.listen(), way, post.seal(letter));
    }
  }

  /** Asks no name server: only numeric hosts pass the settings and the reading of letters. */
  private static InetSocketAddress straight(Address to) {
    try {
      return Envelopes.numeric(to.host())
          ? new InetSocketAddress(InetAddress.getByName(to.host()), to.port())
          : null;
    } catch (UnknownHostException e) {
      Log.event("member-unreachable", e.getMessage(), "to", to);
      return null;
    }
  }
}
