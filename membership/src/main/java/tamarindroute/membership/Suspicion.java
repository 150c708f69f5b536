package tamarindroute.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Owns accusations: who reports whom, how long that may be refuted, and the cut. It must never hold
 * a member to be away on one observer's word, nor while this one itself is not in touch.
 */
final class Suspicion {

  /** A suspicion without the guard for pauses waits so many periods, as SWIM's example has it. */
  private static final int PLAIN = 3;

  /**
   * The least for a refutation to be there after the pause that is borne: a period, eight rounds of
   * gossip.
   */
  private static final int MARGIN = 1;

  /** A cut waits no longer than so many periods for others that are about to be one with it. */
  private static final int BATCH = 1;

  /** No more observers than this are kept for one suspect, whatever is told. */
  private static final int MOST_REPORTERS = 16;

  private final Own own;
  private final SelfWatch watch;

  Suspicion(Own own, SelfWatch watch) {
    this.own = own;
    this.watch = watch;
  }

  /** One more observer tells that this one does not answer; whether this was news. */
  boolean report(Entry entry, Address observer) {
    if (entry.standing == Standing.ALIVE) {
      own.roll.become(entry, Standing.SUSPECT, own.now, own.draws);
      entry.reporters.add(observer);
      own.became(entry);
    } else if (entry.standing != Standing.SUSPECT
        || entry.reporters.contains(observer)
        || entry.reporters.size() >= MOST_REPORTERS) {
      return false;
    } else {
      entry.reporters.add(observer);
    }
    if (entry.reporters.size() <= required() || own.isSelf(observer)) {
      own.rumours.put(new Rumour(entry.member, Standing.SUSPECT, entry.incarnation, observer));
    }
    return true;
  }

  /**
   * So many observers make a cut: most of those held alive and under no suspicion, this one among
   * them, up to the high mark. Two at the least, so that of two none can ever cut off the other:
   * they can't tell a dead one from a cut way.
   */
  int required() {
    if (!own.settings.guards().confirm()) {
      return 1;
    }
    int able = own.roll.unsuspected() + 1;
    return Math.min(own.settings.high(), Math.max(2, able / 2 + 1));
  }

  /**
   * Another holds this suspect to be away already. As many of these as make a cut are one: each has
   * waited, and whoever was stopped or comes late need not wait again. One's own report counts with
   * them.
   */
  void heldAwayBy(Entry entry, Address teller) {
    if (entry.standing != Standing.SUSPECT) {
      return;
    }
    if (entry.tellers == null) {
      entry.tellers = new ArrayList<>(2);
    }
    if (!entry.tellers.contains(teller) && entry.tellers.size() < MOST_REPORTERS) {
      entry.tellers.add(teller);
    }
  }

  private boolean othersCut(Entry entry, int required) {
    int own = entry.reporters.contains(this.own.self.address()) ? 1 : 0;
    return entry.tellers != null && entry.tellers.size() + own >= required;
  }

  /** Cuts all that are ripe at once, if none is about to be. */
  void due() {
    if (!watch.at(own.now).inTouch()) {
      return;
    }
    int required = required();
    List<Entry> ripe = new ArrayList<>();
    boolean waits = false;
    boolean overdue = false;
    for (Entry entry : own.roll.suspects()) {
      int count = reports(entry);
      long over = own.now - entry.since - patience(count, required);
      boolean cutElsewhere = othersCut(entry, required);
      if (count >= required && over >= 0 || cutElsewhere) {
        ripe.add(entry);
        overdue |= cutElsewhere || over >= BATCH * own.period;
      } else {
        waits |= count >= own.settings.low() && count < required && over < BATCH * own.period;
      }
    }
    if (waits && !overdue) {
      return;
    }
    ripe.forEach(this::cut);
  }

  void cut(Entry entry) {
    own.roll.become(entry, Standing.AWAY, own.now, own.draws);
    own.became(entry);
    own.rumours.put(entry.told(own.self.address()));
  }

  /** Those whose reports count: held alive here, and under no suspicion themselves. */
  private int reports(Entry entry) {
    int count = 0;
    for (Address observer : entry.reporters) {
      Entry reporter = own.roll.find(observer);
      if (own.isSelf(observer)
          || reporter != null && reporter.standing == Standing.ALIVE
          || !own.settings.guards().confirm()) {
        count++;
      }
    }
    return count;
  }

  /**
   * Few observers and a poor health of one's own make it longer (Lifeguard); the stated pause is in
   * it.
   */
  private long patience(int reports, int required) {
    long least =
        own.settings.guards().pauses()
            ? own.settings.pause().toNanos() + MARGIN * own.period
            : PLAIN * own.period;
    if (!own.settings.guards().confirm()) {
      return least;
    }
    int missing = Math.max(0, Math.min(own.settings.high() - Math.max(reports, required), 2));
    return least + missing * own.period / 2 + own.health.score() * own.period / 2;
  }

  /** Whoever did not hear the others for a while gives everybody the whole time again. */
  void restart() {
    for (Entry entry : own.roll.suspects()) {
      entry.since = own.now;
    }
  }

  /**
   * Those suspects that this one is to look at: drawn by hash, more with each period, so that some
   * always do.
   */
  List<Entry> drawn() {
    List<Entry> drawn = new ArrayList<>();
    for (Entry entry : own.roll.suspects()) {
      if (!entry.reporters.contains(own.self.address()) && isDrawn(entry)) {
        drawn.add(entry);
      }
    }
    return drawn;
  }

  boolean isDrawn(Entry entry) {
    long periods = Math.min(8, (own.now - entry.since) / own.period);
    double share = (double) (own.settings.observers() << periods) / (own.roll.unsuspected() + 1);
    long draw = Draws.mixed(entry.hash, Draws.hash(own.self)) & 0xFFFF;
    return draw < share * 0x10000;
  }
}
