package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/** What is held of one member; kept small, as there are thousands. */
final class Entry {

  final Member member;
  final int hash;
  Standing standing;
  long incarnation;

  /**
   * When it came to this standing; put forward while this one itself did not run or was out of
   * touch.
   */
  long since;

  /** Who told that it does not answer, in this incarnation; null but for a suspect. */
  List<Address> reporters;

  /** Who told by its own word that it holds this suspect to be away already; null for none. */
  List<Address> tellers;

  /** Its place among those probed in turn; -1 where it is not. */
  int place = -1;

  Entry(Member member, Standing standing, long incarnation, long since) {
    this.member = member;
    this.hash = (int) Draws.hash(member);
    this.standing = standing;
    this.incarnation = incarnation;
    this.since = since;
  }

  private Entry(Entry other) {
    member = other.member;
    hash = other.hash;
    standing = other.standing;
    incarnation = other.incarnation;
    since = other.since;
    reporters = other.reporters == null ? null : new ArrayList<>(other.reporters);
    tellers = other.tellers == null ? null : new ArrayList<>(other.tellers);
    place = other.place;
  }

  Entry copy() {
    return new Entry(this);
  }

  boolean live() {
    return standing == Standing.ALIVE || standing == Standing.SUSPECT;
  }

  /** What is said of it in an exchange and to itself; of a suspect with who told first. */
  Rumour told(Address by) {
    return new Rumour(
        member, standing, incarnation, standing == Standing.SUSPECT ? reporters.get(0) : by);
  }

  List<Object> key(long now) {
    return List.of(
        member,
        standing,
        incarnation,
        standing == Standing.SUSPECT ? now - since : 0,
        reporters == null ? List.of() : reporters,
        tellers == null ? List.of() : tellers,
        place);
  }
}
