package tamarindroute.gateway;

import tamarindroute.decision.Decisions;
import tamarindroute.host.Clock;
import tamarindroute.host.Roster;
import tamarindroute.net.Connection;
import tamarindroute.net.Pool;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns the wiring of one module with its list and its stages: take in, admit, route, send, relay,
 * book. It must hold nothing of a view.
 */
final class Chain {

  private final Pool pool;
  private final Roster roster;
  private final Relay relay;
  private final Admit admit;
  private final Clock clock;

  Chain(SettingsReader settings, Decisions decisions, Clock clock, Pool pool, Roster roster)
      throws MalformedSettingsException {
    this.pool = pool;
    this.clock = clock;
    this.roster = roster;
    relay = new Relay(pool, clock);
    Route route = new Route(decisions, clock);
    Book book = new Book(clock, decisions, route);
    admit = new Admit(settings, clock, route, book);
    book.chain(admit);
    route.chain(new Send(clock, decisions, roster, book, relay), book);
  }

  Roster roster() {
    return roster;
  }

  /** The first stage of a new client's connection. */
  TakeIn takeIn(Connection connection) {
    return new TakeIn(admit, relay, pool, clock, connection);
  }

  /** The pool has room again. */
  void room() {
    relay.room();
  }

  void ready(boolean now) {
    admit.ready(now);
  }

  /** Takes in no more. */
  void leave() {
    admit.leave();
  }

  /** Answers all that is in hand. */
  void endAll() {
    admit.endAll();
  }

  int inHand() {
    return admit.inHand();
  }
}
