package tamarindroute.membership;

import java.util.List;

/**
 * Owns what counts of others' words: which life a word is about and which of two is the later. It
 * must never let a former life's word change anything, nor a word outside its bounds.
 */
final class Words {

  /** Far from where counting on would turn negative. */
  static final long MOST = Long.MAX_VALUE / 4;

  private static final int LONGEST_HOST = 255;

  /** At once; who is refused backs off and asks again. */
  private static final int MOST_JOINING = 64;

  /** One that asked and never said a word as a member is gone after so many periods. */
  private static final int JOINING_FOR = 30;

  private final Own own;
  private final Sends sends;
  private final SelfWatch watch;
  private final Suspicion suspicion;

  /** A later life at this one's address that somebody told of in this step; null for none. */
  private Member laterLife;

  Words(Own own, Sends sends, SelfWatch watch, Suspicion suspicion) {
    this.own = own;
    this.sends = sends;
    this.watch = watch;
    this.suspicion = suspicion;
  }

  boolean sound(Message message) {
    return sound(message.from())
        && sound(message.about())
        && !own.isSelf(message.from().address())
        && message.rumours().size() <= 2 * own.settings.rumours();
  }

  private static boolean sound(Member member) {
    return member.birth() > 0
        && member.birth() <= MOST
        && member.address().host().length() <= LONGEST_HOST;
  }

  /**
   * The sender as it stands here now; null where it is a former life, or left: then nothing it says
   * counts.
   */
  Entry sender(Message message) {
    Member from = message.from();
    Entry entry = own.roll.find(from.address());
    if (entry != null && formerOf(entry, from)) {
      boolean asks =
          message.kind() == Message.Kind.JOIN
              || message.kind() == Message.Kind.PROBE
              || message.kind() == Message.Kind.EXCHANGE;
      if (asks) {
        sends.send(Message.Kind.SUPERSEDED, from, message.number(), entry.member);
      }
      return null;
    }
    if (message.kind() == Message.Kind.JOIN) {
      return entry != null && entry.member.birth() == from.birth() ? entry : joiner(from);
    }
    if (entry == null || entry.member.birth() < from.birth()) {
      return arrived(from, Standing.ALIVE, 0);
    }
    if (entry.standing == Standing.JOINING) {
      alive(entry, entry.incarnation);
    }
    return entry;
  }

  /** Whether a later life than this is known there, or this one has gone for good. */
  private static boolean formerOf(Entry entry, Member from) {
    return entry.member.birth() > from.birth()
        || entry.member.birth() == from.birth() && entry.standing == Standing.LEFT;
  }

  private Entry joiner(Member from) {
    return own.roll.joining().size() >= MOST_JOINING ? null : arrived(from, Standing.JOINING, 0);
  }

  /** A life that was not known: any earlier one at its address is over. */
  private Entry arrived(Member member, Standing standing, long incarnation) {
    Entry former = own.roll.find(member.address());
    if (former != null && former.live()) {
      own.act(new Action.Became(former.member, Standing.AWAY));
    }
    Entry entry = own.roll.take(member, standing, incarnation, own.now, own.draws);
    if (entry != null) {
      own.became(entry);
      if (standing != Standing.JOINING) {
        own.rumours.put(entry.told(own.self.address()));
      }
    }
    return entry;
  }

  /** Those that never came in are remembered for their birth alone. */
  void expire() {
    for (Entry entry : own.roll.joining()) {
      if (own.now - entry.since > JOINING_FOR * own.period) {
        own.roll.become(entry, Standing.AWAY, own.now, own.draws);
      }
    }
  }

  /** Takes all rumours of a message; whether one of them has to be answered with one's own word. */
  boolean takeAll(Message message) {
    boolean accused = false;
    laterLife = null;
    for (Rumour rumour : message.rumours()) {
      if (!sound(rumour.about()) || rumour.incarnation() < 0 || rumour.incarnation() > MOST) {
        continue;
      }
      if (own.isSelf(rumour.about().address())) {
        accused |= ofSelf(rumour, message.from());
      } else {
        take(rumour, message.from());
      }
    }
    if (!accused) {
      watch.notAccusedBy(message.from().address());
    }
    return accused;
  }

  Member laterLife() {
    return laterLife;
  }

  /** What others say of this one; whether it is to be refuted to whoever said so. */
  private boolean ofSelf(Rumour rumour, Member from) {
    if (rumour.about().birth() > own.self.birth()) {
      laterLife = rumour.about();
    }
    if (rumour.about().birth() != own.self.birth()
        || rumour.standing().compareTo(Standing.SUSPECT) < 0) {
      return false;
    }
    if (rumour.incarnation() >= own.incarnation) {
      own.incarnation = rumour.incarnation() + 1;
      own.rumours.put(own.ownWord());
      own.health.worse();
      watch.refuted();
    } else {
      watch.stillAccusedBy(from.address());
    }
    return true;
  }

  private void take(Rumour rumour, Member from) {
    Entry entry = own.roll.find(rumour.about().address());
    if (entry == null || entry.member.birth() < rumour.about().birth()) {
      unknown(rumour);
      return;
    }
    if (entry.member.birth() > rumour.about().birth() || entry.standing == Standing.LEFT) {
      return;
    }
    switch (rumour.standing()) {
      case JOINING -> {}
      case ALIVE -> {
        if (rumour.incarnation() > entry.incarnation || entry.standing == Standing.JOINING) {
          alive(entry, rumour.incarnation());
        }
      }
      case SUSPECT, AWAY -> accusation(entry, rumour, from);
      case LEFT -> left(entry, rumour.incarnation());
    }
  }

  private void unknown(Rumour rumour) {
    switch (rumour.standing()) {
      case JOINING -> {}
      case ALIVE, AWAY, LEFT -> arrived(rumour.about(), rumour.standing(), rumour.incarnation());
      case SUSPECT -> {
        Entry entry = arrived(rumour.about(), Standing.ALIVE, rumour.incarnation());
        if (entry != null) {
          suspicion.report(entry, rumour.observer());
        }
      }
    }
  }

  private void alive(Entry entry, long incarnation) {
    boolean became = entry.standing != Standing.ALIVE;
    entry.incarnation = incarnation;
    if (became) {
      own.roll.become(entry, Standing.ALIVE, own.now, own.draws);
      own.became(entry);
    }
    own.rumours.put(entry.told(entry.member.address()));
  }

  private void accusation(Entry entry, Rumour rumour, Member from) {
    if (rumour.incarnation() < entry.incarnation) {
      return;
    }
    if (entry.standing == Standing.JOINING || rumour.incarnation() > entry.incarnation) {
      alive(entry, rumour.incarnation());
    }
    if (entry.standing == Standing.AWAY) {
      // Whoever suspects by itself what is long away here has missed it: it hears so, and hears
      // from others too.
      if (rumour.standing() == Standing.SUSPECT && rumour.observer().equals(from.address())) {
        sends.send(
            Message.Kind.GOSSIP, from, 0, own.self, List.of(entry.told(own.self.address())), false);
      }
    } else if (rumour.standing() == Standing.AWAY && !own.settings.guards().confirm()) {
      suspicion.cut(entry);
    } else if (!own.isSelf(rumour.observer())) {
      suspicion.report(entry, rumour.observer());
      if (rumour.standing() == Standing.AWAY && rumour.observer().equals(from.address())) {
        suspicion.heldAwayBy(entry, from.address());
      }
    }
  }

  void left(Entry entry, long incarnation) {
    entry.incarnation = Math.max(entry.incarnation, incarnation);
    own.roll.become(entry, Standing.LEFT, own.now, own.draws);
    own.became(entry);
    own.rumours.put(entry.told(own.self.address()));
  }

  /** What a newcomer is told at once: some of those that are there. */
  List<Rumour> welcome() {
    return own.roll.some(own.settings.rumours() / 2, null, own.draws).stream()
        .map(entry -> entry.told(own.self.address()))
        .toList();
  }
}
