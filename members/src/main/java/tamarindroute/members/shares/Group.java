package tamarindroute.members.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.host.Steady;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Timers;
import tamarindroute.shares.Bound;
import tamarindroute.shares.Dealer;
import tamarindroute.shares.Holder;
import tamarindroute.shares.Word;

/** One bound at one member: what this one holds of it, and what it has dealt of it. */
final class Group {

  /**
   * Sockets that ask at once are bounded; asked each quarter of a length, so many a tick are about
   * a hundred a second.
   */
  private static final int MOST_PROBES = 32;

  /** Longer than any time that a quiet or leased share is told for; each is ended by a timer. */
  private static final Duration UNTIL_TOLD = Duration.ofDays(36_500);

  private final Shared shared;
  private final Timers timers;
  private final Shares.Others others;
  private final Shares.Use use;
  private final List<Address> places;
  private final Map<Address, Duration> latest = new HashMap<>();
  private Dealer dealer;
  private Holder holder;
  private Member asked;
  private Holder.Share told;
  private Runnable timer = () -> {};
  private int next;
  private boolean stopped;

  Group(Shared shared, Timers timers, Shares.Others others, Shares.Use use) {
    this.shared = shared;
    this.timers = timers;
    this.others = others;
    this.use = use;
    this.places = new ArrayList<>(shared.told());
    this.dealer = Dealer.started(shared.bound(), shared.told());
  }

  /**
   * Also for a life that found out that a later one than itself was here: it is quiet as any new
   * one is.
   */
  private void begin(Member self, Duration now) {
    if (shared.told().contains(self.address()) && (holder == null || !holder.self().equals(self))) {
      holder = Holder.started(self, shared.bound(), now);
      asked = null;
    }
  }

  void tick(Member leader) {
    Duration now = Steady.now();
    begin(others.self(), now);
    if (holder != null && leader != null && now.compareTo(holder.due()) >= 0) {
      Holder.Step step = holder.asking(now);
      holder = step.holder();
      asked = leader;
      say(leader, step.word());
    }
    if (now.compareTo(dealer.until()) < 0) {
      probe(now);
    }
    settle();
  }

  /**
   * Those that said nothing of late are asked for by turns, of their machines; silence is no
   * answer.
   */
  private void probe(Duration now) {
    Duration every = shared.bound().length().dividedBy(4);
    for (int i = 0, out = 0; i < places.size() && out < MOST_PROBES; i++) {
      Address place = places.get(next++ % places.size());
      if (place.equals(others.self().address())
          || now.compareTo(latest.getOrDefault(place, Duration.ZERO).plus(every)) < 0) {
        continue;
      }
      out++;
      latest.put(place, now);
      others.probe(
          place,
          new Letter.Lease(shared.number(), Letter.LeaseKind.PROBE, 0, 0, 0, Duration.ZERO),
          every,
          () -> dealer = dealer.refused(place, now));
    }
  }

  private void say(Member to, Word word) {
    if (to.equals(others.self())) {
      told(to, word);
    } else {
      others.send(to, letter(word));
    }
  }

  void received(Member from, Letter.Lease letter) {
    if (stopped) {
      return;
    }
    Duration now = Steady.now();
    if (letter.kind() == Letter.LeaseKind.GRANT) {
      // Only of the one that was asked last: no other deals, whatever it says.
      if (holder != null && from.equals(asked) && letter.birth() == holder.self().birth()) {
        granted(new Word.Grant(holder.self(), letter.number(), letter.part(), letter.length()));
      }
    } else if (letter.kind() == Letter.LeaseKind.PROBE || letter.birth() != from.birth()) {
      dealer = dealer.heard(from, now);
    } else {
      told(
          from,
          switch (letter.kind()) {
            case GIVE_BACK -> new Word.GiveBack(from, letter.number());
            case LEAVE -> new Word.Leave(from, letter.number());
            default -> new Word.Ask(from, letter.number());
          });
    }
  }

  private void told(Member from, Word word) {
    Duration now = Steady.now();
    if (shared.told().contains(from.address())) {
      latest.put(from.address(), now);
    }
    Dealer.Step step = dealer.told(word, now);
    dealer = step.dealer();
    if (step.grant() == null) {
      return;
    }
    if (from.equals(others.self())) {
      granted(step.grant());
    } else {
      others.send(from, letter(step.grant()));
    }
  }

  private void granted(Word.Grant grant) {
    holder = holder.granted(grant);
    settle();
  }

  private Letter.Lease letter(Word word) {
    Word.Grant grant = word instanceof Word.Grant it ? it : null;
    Letter.LeaseKind kind =
        grant != null
            ? Letter.LeaseKind.GRANT
            : word instanceof Word.GiveBack
                ? Letter.LeaseKind.GIVE_BACK
                : word instanceof Word.Leave ? Letter.LeaseKind.LEAVE : Letter.LeaseKind.ASK;
    return new Letter.Lease(
        shared.number(),
        kind,
        word.holder().birth(),
        word.number(),
        grant == null ? 0 : grant.part(),
        grant == null ? Duration.ZERO : grant.length());
  }

  /**
   * Tells the decisions what is held from now on. Their clock is the system's and may be set: a
   * part over the even share ends there at its time and here by a timer, one under it by the timer
   * alone, so that a clock that jumps never gives more.
   */
  private void settle() {
    if (holder == null || stopped) {
      return;
    }
    Duration now = Steady.now();
    Holder.Share share = holder.share(now);
    if (share.equals(told)) {
      return;
    }
    told = share;
    timer.run();
    timer = () -> {};
    if (share.until().equals(Holder.FOREVER)) {
      use.dealt(shared.tier(), part(share.part()), Duration.ZERO);
      return;
    }
    boolean less = share.part() < shared.bound().fixed();
    use.dealt(shared.tier(), part(share.part()), less ? UNTIL_TOLD : share.until().minus(now));
    timer = timers.after(share.until().minus(now), this::settle);
  }

  private static double part(long millionths) {
    return (double) millionths / Bound.WHOLE;
  }

  void leads(long number, Duration until) {
    dealer = dealer.leads(number, until, Steady.now());
  }

  void leadsNoMore() {
    dealer = dealer.leadsNoMore(Steady.now());
  }

  void heard(Member who) {
    dealer = dealer.heard(who, Steady.now());
  }

  void gone(Address place, boolean agreed) {
    dealer = dealer.gone(place, agreed);
  }

  /** What this one may use at this moment; null where it is not among those that share. */
  Holder.Share share() {
    return holder == null
        ? null
        : stopped ? new Holder.Share(0, Holder.FOREVER) : holder.share(Steady.now());
  }

  /** Nothing is used from now on, and then the dealer is told so. */
  void stop(Member leader) {
    if (holder != null && !stopped) {
      stopped = true;
      timer.run();
      use.dealt(shared.tier(), 0, UNTIL_TOLD);
      if (leader != null && !leader.equals(others.self())) {
        others.send(leader, letter(holder.leaving()));
      }
    }
    stopped = true;
  }
}
