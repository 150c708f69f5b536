package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Answer;
import tamarindroute.agreement.Leased;
import tamarindroute.agreement.View;
import tamarindroute.agreement.raft.Post;
import tamarindroute.agreement.wire.Words;
import tamarindroute.log.Log;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Holds the view under its lease, asks the voters for it in time, and tells operators what is held
 * and what not.
 */
final class Holding {

  /** As voters grant it; how often they are asked follows from it. */
  static final Duration LEASE = Duration.ofSeconds(10);

  /**
   * At the start a first answer takes a founding of the group and an asking; after that operators
   * are told.
   */
  private static final Duration FIRST = Duration.ofSeconds(10);

  private final List<Address> voters;
  private final Post post;
  private final Duration started;
  private Leased leased;
  private Optional<Member> leader = Optional.empty();
  private String told = "";
  private boolean out;

  Holding(Member self, List<Address> voters, Post post, Duration now) {
    this.voters = List.copyOf(voters);
    this.post = post;
    this.started = now;
    this.leased = Leased.none(self);
  }

  /** What may be acted on at this moment; empty: out of touch. */
  Optional<View> held(Duration now) {
    return leased.held(now);
  }

  void tick(Duration now) {
    tell(now);
    if (leased.due(now, LEASE)) {
      Address to = leased.whom(voters);
      leased = leased.asked(now);
      post.send(to, Words.ask(leased));
    }
  }

  /** Whether one is a voter, as told or as agreed: those alone are believed. */
  boolean votes(Address one) {
    return voters.contains(one)
        || leased.view().stream()
            .flatMap(view -> view.voters().stream())
            .anyMatch(voter -> voter.address().equals(one));
  }

  /** Who led when it was last heard. */
  Optional<Address> leader() {
    return leader.map(Member::address);
  }

  /** A voter's answer. */
  void answered(Answer answer, Duration now) {
    leased = leased.answered(answer);
    if (answer.led()) {
      leader = answer.leader();
    }
    tell(now);
  }

  private void tell(Duration now) {
    Optional<View> view = held(now);
    if (view.isPresent()) {
      out = false;
      String words =
          "view "
              + view.get().number()
              + ", "
              + view.get().members().size()
              + " members, led by "
              + leader.map(Member::toString).orElse("nobody");
      if (!words.equals(told)) {
        told = words;
        Log.change("agreed", words);
      }
      return;
    }
    boolean ever = leased.view().isPresent();
    Duration since = ever ? leased.until() : started.plus(FIRST);
    if (!out && now.compareTo(since) >= 0) {
      out = true;
      told = "";
      Log.change(
          "agreed",
          "out of touch since "
              + now.minus(ever ? since : started).toMillis()
              + " ms: what was agreed before is not acted on");
    }
  }
}
