package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement.Fate;
import tamarindroute.agreement.Agreement.Outcome;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.raft.Post;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Takes this member's proposals to whoever leads, with a vote of its own or without. Sent on to
 * another it goes on by itself, for nothing has changed then; whatever else it hears, or nothing in
 * time, it says once to who proposed.
 */
final class Proposing {

  /** Under way at once: a voter bears four times as many of all together. */
  static final int MOST = 64;

  /** A voter waits as long itself, and the way there and back. */
  static final Duration WAIT = Duration.ofSeconds(12);

  /** Each voter once, and the new leader that they tell. */
  private static final int TRIES = 8;

  private record One(Command command, Consumer<Outcome> outcome, int tries, Duration until) {}

  private final List<Address> voters;
  private final Post post;
  private final Map<Long, One> underWay = new LinkedHashMap<>();

  /** Numbered from the birth on: an answer to a former life's proposal must not count. */
  private long number;

  Proposing(Member self, List<Address> voters, Post post) {
    this.voters = List.copyOf(voters);
    this.post = post;
    this.number = self.birth() * 1_000_003L;
  }

  void propose(Command command, Optional<Address> leader, Consumer<Outcome> outcome, Duration now) {
    if (underWay.size() >= MOST) {
      outcome.accept(new Outcome(Fate.BUSY, 0, "too many at once", Optional.empty()));
      return;
    }
    send(new One(command, outcome, 0, now.plus(WAIT)), leader);
  }

  private void send(One one, Optional<Address> leader) {
    underWay.put(++number, one);
    Address to = leader.orElse(voters.get(one.tries % voters.size()));
    post.send(to, Words.proposal(number, one.command));
  }

  void answered(long to, Outcome outcome) {
    One one = underWay.remove(to);
    if (one == null) {
      return;
    }
    if (outcome.fate() == Fate.ELSEWHERE && one.tries + 1 < TRIES) {
      send(
          new One(one.command, one.outcome, one.tries + 1, one.until),
          outcome.leader().map(Member::address));
    } else {
      one.outcome.accept(outcome);
    }
  }

  /** Gives up those that have heard nothing. */
  void tick(Duration now) {
    Iterator<One> all = underWay.values().iterator();
    List<One> over = new ArrayList<>();
    while (all.hasNext()) {
      One one = all.next();
      if (now.compareTo(one.until) >= 0) {
        all.remove();
        over.add(one);
      }
    }
    over.forEach(
        one -> one.outcome.accept(new Outcome(Fate.UNKNOWN, 0, "no answer", Optional.empty())));
  }
}
