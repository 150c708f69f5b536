package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.function.BiFunction;
import tamarindroute.log.Log;
import tamarindroute.protocol.HttpReader;
import tamarindroute.protocol.MalformedException;

/**
 * Owns the connection to the control feed: asks for later events, again and again, and anew after a
 * pause where that fails. There is one connection or one pause at a time, and what a former
 * connection still says is dropped. It must never know what an event says, nor skip one: the number
 * asked for is the reader's.
 */
public final class Feed {

  /** What reads the events. */
  public interface Reader {

    /** The number of the last event that is known. */
    long last();

    /** Takes an answer's text; throws where it makes no sense. */
    void read(String text) throws MalformedException;
  }

  /**
   * What is told late counts as told after 7 s, and 2 s after a wait of ours that nobody ended. The
   * worst way there is a silent connection (2.8 s), a dial that hangs (0.7 s), one that hangs for
   * longer (1.4 s) and their pauses (0.1 s each): 5.2 s. With one hanging dial it is 3.7 s, which
   * is 1.7 s after the wait.
   */
  private static final Duration WAIT = Duration.ofMillis(2000);

  /** An answer that has not begun so long after the wait does not come. */
  private static final Duration LATE = Duration.ofMillis(800);

  /**
   * Where the feed is slower than that time and again, it is waited for longer, or it would never
   * be read.
   */
  private static final Duration LATER = Duration.ofMillis(2000);

  /**
   * After one or two connections that failed the answer is asked for soon: another silent one is
   * noticed in 1 s.
   */
  private static final Duration SHORT_WAIT = Duration.ofMillis(200);

  /**
   * An answer that has begun goes on within this; a long one on a slow way is not cut while it
   * comes.
   */
  private static final Duration STALLED = Duration.ofMillis(1000);

  /** Nor does one that only trickles keep the gateway deaf for good. */
  private static final Duration WHOLE = Duration.ofSeconds(20);

  /** Bytes that this gateway's own backlog keeps back are looked for again after this. */
  private static final Duration SOON = Duration.ofMillis(20);

  /**
   * A dial takes two ways; a second one is given the time in which the system sends the first
   * packet again.
   */
  private static final Duration UP = Duration.ofMillis(700);

  private static final Duration UP_AGAIN = Duration.ofMillis(1400);

  /**
   * A broken feed is asked again soon, and not in a rush: 0.2 to 0.3 s, drawn, so that a fleet is
   * out of step. After a connection that was waited for in vain the drawn part is enough, for that
   * wait was longer.
   */
  private static final int PAUSE_MILLIS = 200;

  private static final int DRAWN_MILLIS = 100;

  /**
   * Of an answer: an eighth of the heap, in which it stands up to three times; 9,000 caches in the
   * smallest.
   */
  private static final int LONGEST_BODY =
      (int) Math.min(4 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 8);

  private final BiFunction<InetSocketAddress, Peer, Connection> dial;
  private final Timers timers;
  private final Reader events;
  private final Random drawn;
  private InetSocketAddress address;

  /** The one connection that is up or coming up; null before the start and in a pause. */
  private Watch watch;

  private boolean started;
  private Runnable pause = () -> {};

  /** Connections that failed since the last whole answer. */
  private int failed;

  public Feed(Sockets sockets, Timers timers, InetSocketAddress address, Reader events, long seed) {
    this(sockets::connectReserved, timers, address, events, seed);
  }

  Feed(
      BiFunction<InetSocketAddress, Peer, Connection> dial,
      Timers timers,
      InetSocketAddress address,
      Reader events,
      long seed) {
    this.dial = dial;
    this.timers = timers;
    this.address = address;
    this.events = events;
    this.drawn = new Random(seed);
  }

  public void start() {
    if (!started) {
      started = true;
      anew();
    }
  }

  /**
   * From now on the feed is elsewhere; its numbers go on, so what is asked for there is what comes
   * next. It is asked at once, also out of a pause, and what the old one still sends is not read.
   */
  public void move(InetSocketAddress elsewhere) {
    if (!elsewhere.equals(address)) {
      address = elsewhere;
      failed = 0;
      if (started) {
        anew();
      }
    }
  }

  /** The one way to a connection: ends whatever there is before it. */
  private void anew() {
    pause.run();
    pause = () -> {};
    Watch old = watch;
    watch = null;
    if (old != null) {
      old.connection.close(Ending.LET_GO, false);
    }
    watch = new Watch();
    watch.dial();
  }

  /**
   * One connection, with timers and a reader of its own; once it is not the feed's, nothing it does
   * counts.
   */
  private final class Watch implements Peer {

    private final HttpReader answer = new HttpReader(LONGEST_BODY);
    private Connection connection;
    private Runnable patience = () -> {};
    private Duration askedAt;
    private Duration heardAt;
    private Duration wait = WAIT;
    private boolean begun;

    void dial() {
      connection = dial.apply(address, this);
      patience =
          timers.after(
              failed > 0 && failed % 2 == 0 ? UP_AGAIN : UP,
              () -> connection.close(Ending.NOT_UP_IN_TIME, false));
    }

    @Override
    public void opened() {
      ask(failed == 1 || failed == 2 ? SHORT_WAIT : WAIT);
    }

    private void ask(Duration span) {
      wait = span;
      askedAt = timers.now();
      heardAt = askedAt;
      begun = false;
      patience.run();
      patience = timers.after(left(), this::look);
      connection.write(
          ("GET /v1/events?SUB="
                  + events.last()
                  + "&wait="
                  + wait.toMillis()
                  + " HTTP/1.1\r\nHost: "
                  + address.getHostString()
                  + ":"
                  + address.getPort()
                  + "\r\nAccept: application/json\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
    }

    /** How long the answer has still to come, or to go on. */
    private Duration left() {
      Duration due =
          begun ? heardAt.plus(STALLED) : askedAt.plus(wait).plus(failed > 3 ? LATER : LATE);
      Duration last = askedAt.plus(WHOLE);
      return (due.compareTo(last) < 0 ? due : last).minus(timers.now());
    }

    /**
     * Timers go before what was handed over: bytes that have come are used before anything is
     * judged late.
     */
    private void look() {
      Duration left = left();
      if (left.compareTo(Duration.ZERO) > 0 || connection.hasUnused()) {
        patience = timers.after(left.compareTo(SOON) > 0 ? left : SOON, this::look);
      } else {
        connection.close(begun ? Ending.STALLED : Ending.NOT_UP_IN_TIME, false);
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (watch != this) {
        bytes.position(bytes.limit());
        return;
      }
      heardAt = timers.now();
      try {
        if (!answer.read(bytes)) {
          if (!begun) {
            begun = true;
            patience.run();
            patience = timers.after(left(), this::look);
          }
        } else {
          if (answer.status() != 200) {
            throw new MalformedException("status " + answer.status());
          }
          events.read(answer.body());
          if (watch != this) {
            return;
          }
          failed = 0;
          if (answer.closing()) {
            anew();
          } else {
            ask(WAIT);
          }
        }
      } catch (MalformedException e) {
        Log.line("feed-unreadable", e.getMessage());
        connection.close(Ending.UNREADABLE, false);
      }
    }

    @Override
    public void ended(Ending ending) {
      patience.run();
      if (watch != this) {
        return;
      }
      watch = null;
      failed++;
      Log.line("feed-lost", ending);
      boolean waited = ending == Ending.NOT_UP_IN_TIME || ending == Ending.STALLED;
      int millis = (waited ? 0 : PAUSE_MILLIS) + drawn.nextInt(DRAWN_MILLIS);
      pause = timers.after(Duration.ofMillis(millis), Feed.this::anew);
    }
  }
}
