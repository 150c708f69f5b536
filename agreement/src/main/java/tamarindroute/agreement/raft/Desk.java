package tamarindroute.agreement.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Answer;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.View;
import tamarindroute.agreement.wire.Heard;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Answers those who ask for the view. One reading under most voters' word serves all who asked
 * before it began; who asks while one is under way waits for the next, for the one under way may
 * have begun before it asked.
 */
final class Desk {

  /** How long a member may act on an answer: two changes of the leader, and a reading. */
  static final Duration LEASE = Duration.ofSeconds(10);

  /**
   * Who waits at once: every member of the largest fleet, and some twice. More are not answered and
   * ask again.
   */
  private static final int WAITING_MOST = 8_192;

  private record Waiting(Address from, Heard.Ask ask) {}

  private final RaftAgreement agreement;
  private final Machine machine;
  private final Post post;
  private List<Waiting> waiting = new ArrayList<>();
  private boolean underWay;

  Desk(RaftAgreement agreement, Machine machine, Post post) {
    this.agreement = agreement;
    this.machine = machine;
    this.post = post;
  }

  void asked(Address from, Heard.Ask ask) {
    if (waiting.size() < WAITING_MOST) {
      waiting.add(new Waiting(from, ask));
      begin();
    }
  }

  private void begin() {
    if (underWay || waiting.isEmpty()) {
      return;
    }
    underWay = true;
    List<Waiting> served = waiting;
    waiting = new ArrayList<>();
    agreement.read(
        view -> {
          underWay = false;
          served.forEach(one -> post.send(one.from(), Words.answer(answer(one.ask(), view))));
          begin();
        });
  }

  private Answer answer(Heard.Ask ask, Optional<View> read) {
    if (read.isEmpty()) {
      Optional<Member> leader = agreement.leader().filter(one -> !one.equals(agreement.self()));
      return Answer.elsewhere(ask.number(), leader);
    }
    View view = read.get();
    Optional<List<Command>> since =
        ask.heldGroup() == view.group() && view.number() == machine.view().number()
            ? machine.since(ask.held())
            : Optional.empty();
    return new Answer(
        ask.number(),
        true,
        Optional.of(agreement.self()),
        LEASE,
        view.group(),
        since.isPresent() ? Optional.empty() : read,
        since.orElse(List.of()));
  }
}
