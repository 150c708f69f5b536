package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Regard;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.host.Clock;
import tamarindroute.host.Config;
import tamarindroute.host.Roster;
import tamarindroute.net.CacheLine;
import tamarindroute.net.Pool;
import tamarindroute.protocol.Fields;

/** What becomes of an attempt between its decision, its writing and its answer, without sockets. */
class SendTest {

  private static final String EVENT =
      "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,"
          + "\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:9\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
          + "\"state\":\"ready\",\"weight\":40,\"started_ms\":0}]}}]}";
  private static final String COPY = "4be0c1927d55a6f3";

  /** Answers nothing, and that a trip may go as told; null for a defect. */
  private static final class Module implements Decisions {

    private Cache cache;
    private Boolean mayGo = true;

    @Override
    public Answer place(View view, Duration now) {
      return new Answer.NotYet();
    }

    @Override
    public Answer after(View view, Trip trip, Duration now) {
      return new Answer.NotYet();
    }

    @Override
    public boolean mayStillGo(View view, Trip trip, Duration now) {
      return mayGo;
    }

    @Override
    public Duration patience(View view, Duration now) {
      return null;
    }

    @Override
    public void listed(List<Cache> caches, Duration now) {
      cache = caches.get(0);
    }

    @Override
    public void purged(Purge purge, Duration now) {}

    @Override
    public void loaded(Cache of, Load load, Duration now) {}

    @Override
    public void dealt(Cache.Tier tier, double part, Duration until, Duration now) {}

    @Override
    public Regard regard(Cache of, Duration now) {
      return null;
    }

    @Override
    public List<Cache> homes(long object) {
      return List.of();
    }

    @Override
    public void probed(Cache of, Outcome.Result result, Duration now) {}
  }

  private final Module module = new Module();
  private final Clock clock = new Clock();
  private final Pool pool = new Pool(1024 * 1024);
  private Roster roster;
  private Send send;
  private Book book;
  private Relay relay;

  @BeforeEach
  void start() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    roster =
        new Roster(
            config.settings(),
            List.of(module),
            clock,
            (id, address) ->
                new CacheLine(
                    null,
                    clock,
                    id,
                    address,
                    new CacheLine.Limits(4, 100, Duration.ofSeconds(1), Duration.ZERO)));
    roster.read(EVENT);
    Route route = new Route(module, clock);
    book = new Book(clock, module, route);
    relay = new Relay(pool, clock);
    send = new Send(clock, module, roster, book, relay);
    route.chain(send, book);
  }

  /** A view that has had its answer, so that no client is needed, with a trip that is out. */
  private Send.TripOut out(String copy, Duration oldest) {
    View view = new View(null, 5, 0, 17, 1, clock.now(), clock.now().plusSeconds(2));
    TakeIn.Call call = new TakeIn.Call("1", "clip", "", new ArrayDeque<>(), 0, false);
    Held held = new Held(null, call, view, "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", null, copy);
    Trip trip = new Trip(module.cache, module.cache, 1, oldest, false, false, null);
    trip.sent = clock.now();
    view.trips.add(trip);
    Send.TripOut out = send.new TripOut(held, trip);
    held.out.add(out);
    roster.out(trip, 1);
    return out;
  }

  private Result result(Send.TripOut out, String word, Fields fields) {
    out.held.over = true;
    out.answered(word, fields, 0);
    out.whole();
    return out.trip.outcome.result();
  }

  @Test
  void whatWaitedIsWrittenOnlyIfTheModuleSaysSoAndItsViewIsNotOver() {
    Send.TripOut out = out(null, null);
    assertThat(out.stillWanted()).isTrue();
    module.mayGo = false;
    assertThat(out.stillWanted()).isFalse();
    module.mayGo = true;
    out.held.over = true;
    assertThat(out.stillWanted()).isFalse();
  }

  /**
   * It is asked for all that waited for a connection, one after another: the others must still be
   * written.
   */
  @Test
  void aDefectInTheModuleCostsTheTripAlone() {
    Send.TripOut out = out(null, null);
    module.mayGo = null;
    assertThat(out.stillWanted()).isFalse();
  }

  /**
   * A trip that is given up while it waits for its connection has not run, and may be made good
   * elsewhere.
   */
  @Test
  void aTripRecalledBeforeItWasWrittenWasNotSent() {
    Send.TripOut waiting = out(null, null);
    Send.TripOut begun = out(null, null);
    begun.begun = true;
    for (Send.TripOut out : List.of(waiting, begun)) {
      out.held.over = true;
      send.recall(out.held, out.trip);
    }
    assertThat(waiting.trip.outcome.result()).isEqualTo(Result.NOT_SENT);
    assertThat(begun.trip.outcome.result()).isEqualTo(Result.RECALLED);
  }

  /** The client's copy holds only if the cache has named that very copy. */
  @Test
  void anAnswerThatTheCopyHoldsWithoutNamingItIsAnError() {
    assertThat(result(out(COPY, null), "NOMOD", new Fields())).isEqualTo(Result.ERRED);
    assertThat(result(out(COPY, null), "NOMOD", new Fields().with("digest", "0000000000000000")))
        .isEqualTo(Result.ERRED);
    assertThat(result(out(null, null), "NOMOD", new Fields().with("digest", COPY)))
        .isEqualTo(Result.ERRED);
    assertThat(result(out(COPY, null), "NOMOD", new Fields().with("digest", COPY)))
        .isEqualTo(Result.HONOURED);
  }

  /**
   * A cache that gives a copy from before a purge it was told of goes wrong: passed on, the request
   * is lost.
   */
  @Test
  void aCopyOlderThanAPurgeAllowsIsAnError() {
    long now = System.currentTimeMillis();
    Duration since = Duration.ofSeconds(20);
    for (String word : List.of("ACK", "NOMOD")) {
      Fields fresh = new Fields().with("digest", COPY).with("dated", now - 15_000);
      Fields stale = new Fields().with("digest", COPY).with("dated", now - 25_000);
      assertThat(result(out(COPY, since), word, fresh)).isEqualTo(Result.HONOURED);
      assertThat(result(out(COPY, since), word, stale)).isEqualTo(Result.ERRED);
      assertThat(result(out(COPY, null), word, stale))
          .as("no purge binds")
          .isEqualTo(Result.HONOURED);
      assertThat(
              result(
                  out(COPY, since), word, new Fields().with("digest", COPY).with("dated", "soon")))
          .isEqualTo(Result.ERRED);
    }
  }
}
