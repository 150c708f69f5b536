package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns who this one is, the moment of the step, and the step's actions; what all the parts of the
 * machine share.
 */
final class Own {

  final Settings settings;
  final Draws draws;
  final Roll roll;
  final RumourQueue rumours;
  final Health health;
  final long period;
  Member self;
  long incarnation;
  long now;
  long numbers;

  /** Sending that is left, in bytes times nanoseconds a second; may not fall below zero. */
  private double room;

  private long roomAt;

  /** Numbers start again after this; small where every way is explored. */
  final long wrap;

  private List<Action> actions = new ArrayList<>();

  Own(Settings settings, Member self, Draws draws, long wrap, long now) {
    this(
        settings,
        self,
        draws,
        new Roll(settings.members()),
        new RumourQueue(),
        new Health(settings),
        wrap);
    this.now = now;
    this.room = settings.bytes();
    this.roomAt = now;
  }

  private Own(
      Settings settings,
      Member self,
      Draws draws,
      Roll roll,
      RumourQueue rumours,
      Health health,
      long wrap) {
    this.settings = settings;
    this.self = self;
    this.draws = draws;
    this.roll = roll;
    this.rumours = rumours;
    this.health = health;
    this.wrap = wrap;
    this.period = settings.period().toNanos();
  }

  Own copy() {
    Own copy =
        new Own(settings, self, draws.copy(), roll.copy(), rumours.copy(), health.copy(), wrap);
    copy.incarnation = incarnation;
    copy.now = now;
    copy.numbers = numbers;
    copy.room = room;
    copy.roomAt = roomAt;
    return copy;
  }

  /**
   * Room to send is left out: it is refilled long before a small world needs it; numbers count from
   * the last one.
   */
  List<Object> key(long at) {
    return List.of(self, incarnation, roll.key(at), rumours.key(), health.key());
  }

  /** A number told from the last one that was given out. */
  long sinceLast(long number) {
    return Math.floorMod(numbers - number, wrap);
  }

  long number() {
    numbers = numbers % wrap + 1;
    return numbers;
  }

  void act(Action action) {
    actions.add(action);
  }

  void became(Entry entry) {
    act(new Action.Became(entry.member, entry.standing));
  }

  List<Action> taken() {
    List<Action> taken = List.copyOf(actions);
    actions = new ArrayList<>();
    return taken;
  }

  Rumour ownWord() {
    return new Rumour(self, Standing.ALIVE, incarnation, self.address());
  }

  boolean isSelf(Address address) {
    return address.equals(self.address());
  }

  /** How many bytes are left of the second's; a part is kept for probes and answers. */
  boolean room(int bytes, boolean vital) {
    room = Math.min(settings.bytes(), room + (now - roomAt) * 1e-9 * settings.bytes());
    roomAt = now;
    if (room < bytes + (vital ? 0 : settings.bytes() / 2)) {
      return false;
    }
    room -= bytes;
    return true;
  }
}
