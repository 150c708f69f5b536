package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Trip;
import tamarindroute.host.Clock;
import tamarindroute.host.Roster;
import tamarindroute.log.Log;
import tamarindroute.net.Asked;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.protocol.Fields;

/**
 * The fourth stage: writes a trip to its cache as the protocol spells it, and owns it while it is
 * out. It must never send what the module did not ask for, nor a trip twice.
 */
final class Send {

  private final Clock clock;
  private final Decisions decisions;
  private final Roster roster;
  private final Book book;
  private final Relay relay;

  Send(Clock clock, Decisions decisions, Roster roster, Book book, Relay relay) {
    this.clock = clock;
    this.decisions = decisions;
    this.roster = roster;
    this.book = book;
    this.relay = relay;
  }

  /** A trip that is out. */
  final class TripOut implements Asked {

    final Held held;
    final Trip trip;
    final Relay.Passage passage;
    private Runnable quit = () -> {};

    /** Whether it has been written, as far as a connection takes it. */
    boolean begun;

    private String word;
    private Fields fields;

    TripOut(Held held, Trip trip) {
      this.held = held;
      this.trip = trip;
      this.passage = relay.passage(held);
    }

    void quit() {
      quit.run();
    }

    /** What never got a connection to be written to cannot have run, whatever ends it. */
    Result ifBegun(Result result) {
      return begun ? result : Result.NOT_SENT;
    }

    /** It has come back, and the module knows. */
    void over() {
      roster.out(trip, -1);
    }

    /**
     * Much may have been told while the connection came up; a defect in the module must cost this
     * trip alone.
     */
    @Override
    public boolean stillWanted() {
      try {
        return !held.over && decisions.mayStillGo(held.view, trip, clock.now());
      } catch (RuntimeException e) {
        Log.defect(e);
        return false;
      }
    }

    @Override
    public void answered(String answer, Fields told, int length) {
      word = answer;
      fields = told;
      if (answer.equals("ACK")) {
        passage.begin(told, length);
      }
    }

    @Override
    public void body(ByteBuffer part, Connection from) {
      if (word.equals("ACK")) {
        passage.part(part, from);
      }
    }

    @Override
    public void whole() {
      book.answered(this, word, fields);
    }

    @Override
    public void ended(Ending ending, boolean written) {
      book.broken(this, ending.result(written));
    }
  }

  void go(Held held, Trip trip) {
    TripOut out = new TripOut(held, trip);
    held.out.add(out);
    roster.out(trip, 1);
    out.quit =
        roster.line(trip.cache).ask(held.id, () -> fields(out), held.body, held.bodyLength, out);
  }

  /** As of now, when they are written: the connection may have come up late. */
  private String fields(TripOut out) {
    out.begun = true;
    Held held = out.held;
    Trip trip = out.trip;
    Duration left = held.left(clock.now());
    return new Fields()
        .with("lane", held.profileName)
        .with("name", held.object)
        .with("piece", held.view.part)
        .with("ttl", Math.max(1, left.toMillis()))
        .with("dedupe", held.key)
        .with("parent", trip.source == trip.cache ? null : roster.id(trip.source))
        .with("shelf", trip.rank == 0 ? null : trip.rank)
        .with("accept", trip.oldest == null ? null : Math.max(1, trip.oldest.toMillis()))
        .with("hints", hints(trip))
        .with("got", held.copy)
        .write("-");
  }

  private static String hints(Trip trip) {
    String words = (trip.onlyHeld ? "+local" : "") + (trip.renew ? "+revalidate" : "");
    return words.isEmpty() ? null : words.substring(1);
  }

  /**
   * Stops waiting for a trip, where it is still out; one that never got a connection cannot have
   * run.
   */
  void recall(Held held, Trip trip) {
    for (TripOut out : held.out) {
      if (out.trip == trip) {
        out.quit();
        book.broken(out, out.ifBegun(Result.RECALLED));
        return;
      }
    }
  }
}
