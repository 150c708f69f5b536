package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns what goes out: puts rumours on each message, first what is held of the one it goes to. It
 * must never send more a second than the settings tell; what has no room is as if it were lost.
 */
final class Sends {

  /**
   * What a message and a rumour take on the wire, sealed, with usual addresses: estimates, on the
   * high side.
   */
  static final int MESSAGE = 110;

  static final int RUMOUR = 56;

  private final Own own;

  /** Said to everybody while others still hold something else of this one. */
  boolean sayOwnWord;

  Sends(Own own) {
    this.own = own;
  }

  Sends copy(Own other) {
    Sends copy = new Sends(other);
    copy.sayOwnWord = sayOwnWord;
    return copy;
  }

  void send(Message.Kind kind, Member to, long number, Member about) {
    send(kind, to, number, about, List.of(), true);
  }

  void send(
      Message.Kind kind, Member to, long number, Member about, List<Rumour> first, boolean fill) {
    List<Rumour> rumours = new ArrayList<>();
    Entry entry = own.roll.find(to);
    if (entry != null && (entry.standing == Standing.SUSPECT || entry.standing == Standing.AWAY)) {
      // Whoever is suspected hears it first, from whoever speaks to it (Lifeguard's buddy system).
      rumours.add(entry.told(own.self.address()));
    }
    if (sayOwnWord) {
      rumours.add(own.ownWord());
    }
    rumours.addAll(first);
    int most = own.settings.rumours();
    boolean vital = kind != Message.Kind.GOSSIP && kind != Message.Kind.EXCHANGE;
    if (fill && rumours.size() < most && !own.rumours.isEmpty()) {
      rumours.addAll(own.rumours.take(most - rumours.size(), own.roll.live().size()));
    }
    if (rumours.size() > most) {
      rumours = rumours.subList(0, most);
    }
    if (own.room(size(rumours.size()), vital)) {
      own.act(
          new Action.Send(
              to.address(), new Message(kind, own.self, to.birth(), number, about, rumours)));
    }
  }

  /** To an address whose life is not known. */
  void join(Address to, long number) {
    if (own.room(size(0), true)) {
      own.act(
          new Action.Send(
              to, new Message(Message.Kind.JOIN, own.self, 0, number, own.self, List.of())));
    }
  }

  static int size(int rumours) {
    return MESSAGE + RUMOUR * rumours;
  }
}
