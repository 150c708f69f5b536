package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns one member's whole state and the order of a step: first whether it ran when it should have,
 * then the event, then what is due, then its own condition. It must never read a clock; equal
 * events at equal times give equal actions.
 *
 * <p>Not for several threads. Whoever acts on what is held here asks touch first, at the moment of
 * acting: a process that was stopped knows so by it before any timer has run.
 */
public final class Membership {

  /**
   * Rumours go out so many times a period, to so many others. Five were too few: one of 100,000
   * missed a refutation.
   */
  private static final int ROUNDS = 8;

  private static final int FANOUT = 3;

  /** Whoever goes says so to so many; they pass it on. */
  private static final int FAREWELLS = 8;

  private final Own own;
  private final Sends sends;
  private final SelfWatch watch;
  private final Suspicion suspicion;
  private final Prober prober;
  private final Exchange exchange;
  private final Joining joining;
  private final Words words;
  private long roundAt;
  private long periodAt;

  /**
   * Begins at this moment of the monotonic clock; the birth is only a proposal
   * (docs/membership-design.md).
   */
  public Membership(Settings settings, Member self, List<Address> seeds, Duration now) {
    this(settings, self, seeds, now, new Draws(Draws.seedOf(self)), Long.MAX_VALUE / 2);
  }

  Membership(
      Settings settings, Member self, List<Address> seeds, Duration now, Draws draws, long wrap) {
    if (self.birth() <= 0 || self.birth() > Words.MOST) {
      throw new IllegalArgumentException("birth out of bounds: " + self);
    }
    own = new Own(settings, self, draws, wrap, now.toNanos());
    sends = new Sends(own);
    watch = new SelfWatch(own);
    suspicion = new Suspicion(own, watch);
    prober = new Prober(own, sends, watch, suspicion);
    exchange = new Exchange(own, sends);
    joining = new Joining(own, sends, watch, seeds);
    words = new Words(own, sends, watch, suspicion);
    roundAt = own.now;
    periodAt = own.now + draws.below(1_000) * own.period / 1_000;
    watch.dueAt(own.now);
  }

  private Membership(Membership other) {
    own = other.own.copy();
    sends = other.sends.copy(own);
    watch = other.watch.copy(own);
    suspicion = new Suspicion(own, watch);
    prober = other.prober.copy(own, sends, watch, suspicion);
    exchange = other.exchange.copy(own, sends);
    joining = other.joining.copy(own, sends, watch);
    words = new Words(own, sends, watch, suspicion);
    roundAt = other.roundAt;
    periodAt = other.periodAt;
  }

  /** The same state, on its own from here on. */
  Membership copy() {
    return new Membership(this);
  }

  /**
   * Nothing is left to be passed on or asked for; simulations begin so, as if all had been said
   * long ago.
   */
  void forget() {
    own.rumours.clear();
    exchange.wantNothing();
  }

  long sinceLast(long number) {
    return own.sinceLast(number);
  }

  /** All that decides what it will do, its times relative to now: equal keys have equal futures. */
  Object key(Duration now) {
    long at = now.toNanos();
    return List.of(
        own.key(at),
        sends.sayOwnWord,
        watch.key(at),
        prober.key(at),
        exchange.key(),
        joining.key(at),
        roundAt - at,
        periodAt - at);
  }

  /** A message that was read whole and proven to be a peer's. */
  public List<Action> told(Message message, Duration now) {
    begin(now);
    // What is meant for another life of this address is not heard by this one.
    boolean mine =
        message.toBirth() == own.self.birth()
            || message.toBirth() == 0 && message.kind() == Message.Kind.JOIN;
    if (!watch.isLeft() && mine && words.sound(message)) {
      heard(message);
    }
    return end();
  }

  /** Time has passed: at the latest when wake told. */
  public List<Action> tick(Duration now) {
    begin(now);
    return end();
  }

  /** It goes in order; nothing it is told counts any more. */
  public List<Action> leave(Duration now) {
    begin(now);
    if (!watch.isLeft()) {
      Rumour word = new Rumour(own.self, Standing.LEFT, own.incarnation, own.self.address());
      for (Entry entry : own.roll.some(FAREWELLS, null, own.draws)) {
        sends.send(Message.Kind.LEAVE, entry.member, 0, own.self, List.of(word), true);
      }
      prober.clear();
      watch.left();
    }
    return end();
  }

  /** The span until the next tick is due; zero where it is overdue. */
  public Duration wake(Duration now) {
    return Duration.ofNanos(Math.max(0, dueAt() - now.toNanos()));
  }

  private long dueAt() {
    if (watch.isLeft()) {
      return Long.MAX_VALUE / 2;
    }
    return Math.min(Math.min(roundAt, periodAt), Math.min(prober.dueAt(), joining.dueAt()));
  }

  private void begin(Duration now) {
    own.now = Math.max(own.now, now.toNanos());
    long late = watch.late(own.now);
    if (watch.paused(own.now)) {
      watch.didNotRun(late);
      prober.clear();
      own.rumours.dropReports(own.self.address());
      watch.announce();
      suspicion.restart();
      own.roll.some(FANOUT, null, own.draws).forEach(prober::probe);
      periodAt = own.now + own.period;
    } else {
      prober.shift(late);
    }
    sends.sayOwnWord = watch.accused(own.now);
  }

  private List<Action> end() {
    if (!watch.isLeft()) {
      due();
    }
    watch.dueAt(dueAt());
    if (watch.announce()) {
      suspicion.restart();
    }
    return own.taken();
  }

  private void due() {
    joining.due();
    prober.due();
    if (own.now >= periodAt) {
      periodAt = own.now + own.period;
      period();
    }
    if (own.now >= roundAt) {
      roundAt = own.now + own.period / ROUNDS;
      round();
    }
  }

  private void period() {
    probe(own.roll.next(own.draws));
    probe(own.roll.successor((int) Draws.hash(own.self), own.self.address()));
    probe(watch.teller() == null ? null : own.roll.find(watch.teller()));
    Entry away = own.roll.someAway(own.draws);
    if (away != null) {
      // It may be there again, or may hear this one and not be heard: then it learns so by this.
      sends.send(Message.Kind.PROBE, away.member, 0, own.self);
    }
    suspicion.drawn().forEach(prober::probe);
    exchange.period();
    words.expire();
    if (watch.alone() && watch.isJoined()) {
      // Nobody to ask whether this one is in touch.
      watch.answered();
    }
  }

  private void probe(Entry entry) {
    if (entry != null && entry.live()) {
      prober.probe(entry);
    }
  }

  private void round() {
    suspicion.due();
    exchange.round();
    if (!own.rumours.isEmpty()) {
      for (Entry entry : own.roll.some(FANOUT, null, own.draws)) {
        sends.send(Message.Kind.GOSSIP, entry.member, 0, own.self);
      }
    }
  }

  private void heard(Message message) {
    if (message.kind() == Message.Kind.SUPERSEDED) {
      superseded(message.about());
      return;
    }
    Entry from = words.sender(message);
    if (from == null) {
      return;
    }
    List<Rumour> answer = words.takeAll(message) ? List.of(own.ownWord()) : List.of();
    if (words.laterLife() != null) {
      superseded(words.laterLife());
      return;
    }
    answer(message, from, answer);
  }

  private void answer(Message message, Entry from, List<Rumour> word) {
    Member sender = message.from();
    switch (message.kind()) {
      case PROBE -> sends.send(Message.Kind.ACK, sender, message.number(), own.self, word, true);
      case ACK -> prober.answered(message);
      case PROBE_FOR -> prober.probeFor(message.about(), sender, message.number());
      case NACK -> prober.refused(message);
      case JOIN -> welcome(message);
      case WELCOME -> welcomed(message);
      case EXCHANGE -> exchange.asked(message);
      case EXCHANGE_BACK -> exchange.answered(message);
      case LEAVE -> {
        if (from.standing != Standing.LEFT) {
          words.left(from, from.incarnation);
        }
      }
      case GOSSIP, SUPERSEDED -> {}
    }
  }

  private void welcome(Message message) {
    if (watch.at(own.now).condition() != Action.Condition.PAUSED) {
      sends.send(
          Message.Kind.WELCOME, message.from(), exchange.parts(), own.self, words.welcome(), false);
    }
  }

  private void welcomed(Message message) {
    if (!watch.isJoined()) {
      watch.joined();
      exchange.wantAll(message.number());
      own.rumours.put(own.ownWord());
    }
  }

  /** A later life than this one was here, as a clock was set back: past it, and in anew. */
  private void superseded(Member later) {
    if (!own.isSelf(later.address())
        || later.birth() < own.self.birth()
        || later.birth() >= Words.MOST) {
      return;
    }
    own.self = new Member(own.self.address(), later.birth() + 1);
    own.incarnation = 0;
    prober.clear();
    watch.reborn();
    joining.again();
    own.act(new Action.Reborn(own.self));
  }

  /** All others that are remembered, with their standing. */
  public Map<Member, Standing> members() {
    Map<Member, Standing> members = new LinkedHashMap<>();
    own.roll.all().forEach(entry -> members.put(entry.member, entry.standing));
    return members;
  }

  /** Those held alive or suspect, and oneself. */
  public List<Member> alive() {
    List<Member> alive = new ArrayList<>(List.of(own.self));
    own.roll.live().forEach(entry -> alive.add(entry.member));
    return alive;
  }

  public Member self() {
    return own.self;
  }

  /** One's own condition at this very moment, whatever timers ran: asked before acting. */
  public Action.State touch(Duration now) {
    return watch.at(Math.max(own.now, now.toNanos()));
  }
}
