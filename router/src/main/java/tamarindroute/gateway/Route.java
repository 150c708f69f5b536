package tamarindroute.gateway;

import java.time.Duration;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Trip;
import tamarindroute.host.Clock;
import tamarindroute.log.Log;

/**
 * The third stage: asks the module where a view goes, carries out the answer, and sets the timer
 * for the next question. It must never answer in the module's stead, but where that has failed.
 */
final class Route {

  /**
   * More attempts than settings allow one request; past it the module is taken to name them without
   * end.
   */
  private static final int MOST_UNSENT = 16;

  private final Decisions decisions;
  private final Clock clock;
  private Send send;
  private Book book;

  Route(Decisions decisions, Clock clock) {
    this.decisions = decisions;
    this.clock = clock;
  }

  void chain(Send next, Book last) {
    send = next;
    book = last;
  }

  void place(Held held) {
    follow(held, () -> decisions.place(held.view, clock.now()));
  }

  /** The module is told of a trip's outcome and says what follows. */
  void after(Held held, Trip trip) {
    follow(held, () -> decisions.after(held.view, trip, clock.now()));
  }

  /**
   * An attempt that must not begin: the module has counted it, and is told that it was not sent,
   * until it gives the view up in its own words; whether that is harmless is the module's to say.
   */
  private void unsent(Held held, Trip trip) {
    held.noMore = true;
    trip.sent = clock.now();
    held.view.trips.add(trip);
    trip.outcome =
        new Outcome(Outcome.Result.NOT_SENT, Outcome.Detail.UNTOLD, Duration.ZERO, null, false);
    if (++held.unsent > MOST_UNSENT) {
      book.terminate(held);
    } else {
      after(held, trip);
    }
  }

  private interface Question {
    Answer ask();
  }

  private void follow(Held held, Question question) {
    Answer answer;
    try {
      answer = question.ask();
    } catch (RuntimeException e) {
      // A defect must cost one view, which still gets its one answer, and promises nothing.
      Log.defect(e);
      answer = new Answer.Termination();
    }
    held.patience.run();
    if (answer instanceof Answer.Recall recall) {
      send.recall(held, recall.trip());
    } else if (held.over) {
      return;
    } else if (answer instanceof Trip trip
        && (held.noMore || held.client.outlet.connection.isLeft())) {
      unsent(held, trip);
    } else if (answer instanceof Trip trip) {
      trip.sent = clock.now();
      held.view.trips.add(trip);
      send.go(held, trip);
    } else if (answer instanceof Answer.Dismissal dismissal) {
      book.dismiss(held, dismissal.comeBack());
    } else if (answer instanceof Answer.Termination) {
      book.terminate(held);
    }
    if (!held.over) {
      Duration patience = decisions.patience(held.view, clock.now());
      held.patience.run();
      if (patience != null) {
        held.patience = clock.after(patience, () -> place(held));
      }
    }
  }
}
