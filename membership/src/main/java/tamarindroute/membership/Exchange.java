package tamarindroute.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Owns the exchange of all that is held, part by part, which heals what rumours missed. It must
 * never put more into one message than the settings tell, nor ask for more parts than there can be.
 */
final class Exchange {

  /** Parts are drawn by hash: with so much room to spare few hold more than a message does. */
  private static final double SPARE = 1.5;

  /** More parts than members that fit. */
  private static final int MOST_PARTS = 4_096;

  /**
   * A newcomer asks for so many parts a round; 5,000 members then take it a quarter of a minute.
   */
  private static final int A_ROUND = 4;

  private final Own own;
  private final Sends sends;

  /** What a newcomer has not been told yet. */
  private BitSet wanted = new BitSet();

  private int parts;

  Exchange(Own own, Sends sends) {
    this.own = own;
    this.sends = sends;
  }

  Exchange copy(Own other, Sends itsSends) {
    Exchange copy = new Exchange(other, itsSends);
    copy.wanted = (BitSet) wanted.clone();
    copy.parts = parts;
    return copy;
  }

  List<Object> key() {
    return List.of(wanted.toString(), parts);
  }

  /** How many parts all that is held is told in. */
  int parts() {
    return Math.min(MOST_PARTS, 1 + (int) (own.roll.size() * SPARE / own.settings.rumours()));
  }

  /** Everything is wanted, in so many parts. */
  void wantAll(long told) {
    parts = (int) Math.max(1, Math.min(MOST_PARTS, told));
    wanted.clear();
    wanted.set(0, parts);
  }

  void wantNothing() {
    wanted.clear();
  }

  /** Asks for what is wanted, the next parts each round. */
  void round() {
    int part = wanted.isEmpty() ? -1 : own.draws.below(parts);
    for (int i = 0; i < A_ROUND && part >= 0; i++) {
      part = wanted.nextSetBit(part) >= 0 ? wanted.nextSetBit(part) : wanted.nextSetBit(0);
      ask(part, parts);
      part = (part + 1) % parts;
    }
  }

  /** One part at random with one at random. */
  void period() {
    int all = parts();
    ask(own.draws.below(all), all);
  }

  private void ask(int part, int of) {
    for (Entry other : own.roll.some(1, null, own.draws)) {
      sends.send(
          Message.Kind.EXCHANGE,
          other.member,
          (long) part << 32 | of,
          own.self,
          held(part, of, Map.of()),
          false);
    }
  }

  /** Answers with what is held otherwise in this part. */
  void asked(Message message) {
    int part = (int) (message.number() >>> 32);
    int of = (int) message.number();
    if (of < 1 || of > MOST_PARTS || part < 0 || part >= of) {
      return;
    }
    Map<Address, Rumour> theirs = new HashMap<>();
    message.rumours().forEach(rumour -> theirs.put(rumour.about().address(), rumour));
    sends.send(
        Message.Kind.EXCHANGE_BACK,
        message.from(),
        message.number(),
        own.self,
        held(part, of, theirs),
        false);
  }

  void answered(Message message) {
    // A full answer may have left some out: asked again, it tells what is still held otherwise.
    if ((int) message.number() == parts && message.rumours().size() < own.settings.rumours() - 2) {
      wanted.clear((int) Math.max(0, Math.min(MOST_PARTS, message.number() >>> 32)));
    }
  }

  private List<Rumour> held(int part, int of, Map<Address, Rumour> theirs) {
    List<Rumour> held = new ArrayList<>();
    int skip = own.draws.below(2);
    for (Entry entry : own.roll.all()) {
      if (entry.standing != Standing.JOINING
          && Integer.remainderUnsigned(entry.hash, of) == part
          && !same(entry, theirs.get(entry.member.address()))) {
        held.add(entry.told(own.self.address()));
      }
    }
    int most = own.settings.rumours() - 2;
    // Of a part that is too long now its beginning goes, now its end.
    int from = skip * Math.max(0, held.size() - most);
    return held.subList(from, Math.min(held.size(), from + most));
  }

  private static boolean same(Entry entry, Rumour theirs) {
    return theirs != null
        && theirs.about().birth() == entry.member.birth()
        && theirs.standing() == entry.standing
        && theirs.incarnation() == entry.incarnation;
  }
}
