package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.host.Clock;
import tamarindroute.log.Log;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.net.Peer;
import tamarindroute.net.Pool;
import tamarindroute.protocol.MalformedException;
import tamarindroute.protocol.RespReader;

/**
 * The first stage: owns one client's connection and the views open on it by their tags, and turns
 * its frames into calls. It must never let a frame in that is not of the protocol: that ends the
 * connection, and nothing else.
 */
final class TakeIn implements Peer {

  private static final int CALL_WORDS = 4;
  private static final int LONGEST_WORD = 4096;

  /**
   * A client that has left must get no attempt begun 0.1 s later; half of it is for this gateway's
   * own backlog.
   */
  private static final Duration LEFT_AFTER = Duration.ofMillis(50);

  /** A write brings 48,000 bytes at most. */
  private static final int LONGEST_BODY = 48 * 1024;

  /**
   * From a connection's start to its first request's end, and from a request's first byte to its
   * last.
   */
  static final Duration WHOLE_FRAME = Duration.ofMillis(2000);

  /**
   * A client sends its first request as soon as it is connected; this allows for a busy machine.
   */
  private static final Duration FIRST_WORD = Duration.ofMillis(100);

  /** The views open on a connection at once, by the protocol. */
  private static final int MOST_OPEN = 32;

  /**
   * After so many unusable calls on one connection it is no client's, but costs work that others
   * need.
   */
  private static final int MOST_UNUSABLE = 64;

  /** A whole call, its body in the pool's buffers; roomless where there was none for the body. */
  record Call(
      String tag,
      String profile,
      String fields,
      ArrayDeque<IoBuffer> body,
      int bodyLength,
      boolean roomless) {}

  private final Admit admit;
  private final Pool pool;
  private final Clock clock;
  final Relay.Outlet outlet;
  final Map<String, Held> open = new HashMap<>();
  private final RespReader reader = new RespReader(CALL_WORDS, LONGEST_WORD, LONGEST_BODY);
  private ArrayDeque<IoBuffer> body = new ArrayDeque<>();
  private boolean roomless;
  private boolean lastFrame;

  /** When it was last of use; a client that has not asked yet is of use for a moment. */
  private Duration usedAt;

  private boolean asked;
  private int unusable;
  private Runnable patience;
  private Runnable leaving = () -> {};

  TakeIn(Admit admit, Relay relay, Pool pool, Clock clock, Connection connection) {
    this.admit = admit;
    this.pool = pool;
    this.clock = clock;
    this.outlet = relay.new Outlet(connection);
    this.usedAt = clock.now();
    this.patience = clock.after(WHOLE_FRAME, this::stalled);
  }

  /**
   * Silence, half a request or a body without end: the connection goes, once the views open on it
   * are over.
   */
  private void stalled() {
    Log.line("client-silent", asked ? "a request that was not made whole" : "no request at all");
    readNoMore();
  }

  /** What is open is still answered; what the client sends from now on is nobody's. */
  private void readNoMore() {
    lastFrame = true;
    outlet.connection.discard();
    dropBody();
    closeIfDone();
  }

  /**
   * A request that is coming in makes it the last to go: half of it would be lost with the
   * connection.
   */
  @Override
  public Duration uselessSince() {
    if (!open.isEmpty() || outlet.connection.waiting() > 0) {
      return null;
    }
    if (!reader.atRest() || outlet.connection.hasUnused()) {
      return clock.now();
    }
    // One that said nothing when it could have goes before any that asked: whoever uses it is not
    // known.
    return asked
        ? usedAt
        : clock.now().minus(usedAt).compareTo(FIRST_WORD) < 0 ? clock.now() : Duration.ZERO;
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      while (!lastFrame) {
        switch (reader.next(bytes)) {
          case MORE -> {
            if (patience == null && !reader.atRest()) {
              patience = clock.after(WHOLE_FRAME, this::stalled);
            }
            if (admit.leaving()) {
              closeIfDone();
            }
            return;
          }
          case HEAD -> roomless = false;
          case BODY -> {
            roomless |= !pool.hasRoom();
            if (!roomless) {
              Connection.copy(reader.body(), pool, body);
            }
          }
          case END -> {
            asked = true;
            usedAt = outlet.connection.readAt();
            if (patience != null) {
              patience.run();
              patience = null;
            }
            frame(reader.words());
            // What came with a command that has no use for it must not stand ahead of the next
            // call's.
            dropBody();
          }
        }
      }
    } catch (MalformedException e) {
      // The other requests that are open here are sound: closed at once, they would lose their
      // answers.
      Log.line("client-unreadable", e.getMessage());
      readNoMore();
    }
    bytes.position(bytes.limit());
  }

  private void dropBody() {
    body.forEach(IoBuffer::free);
    body.clear();
  }

  private void frame(List<String> words) throws MalformedException {
    if (words.size() < 2 || !isTag(words.get(1))) {
      throw new MalformedException("a frame without a tag");
    }
    String tag = words.get(1);
    switch (words.get(0)) {
      case "RPC.CALL" -> {
        if (!reader.hasBody() || open.containsKey(tag)) {
          throw new MalformedException("a call without its words, or with a tag that is open");
        }
        Call call = new Call(tag, words.get(2), words.get(3), body, reader.bodyLength(), roomless);
        body = new ArrayDeque<>();
        if (!admit.call(this, call, open.size() < MOST_OPEN) && ++unusable > MOST_UNUSABLE) {
          throw new MalformedException(unusable + " calls that could not be used");
        }
      }
      case "RPC.CANCEL" -> {
        Held held = open.get(tag);
        if (held != null) {
          admit.vanished(held);
        }
      }
      case "RPC.HEALTH" -> outlet.word(tag, admit.ready() ? "GREEN" : "RED");
      default -> throw new MalformedException("no such command");
    }
  }

  /** A decimal number from 1 up, of no more digits than a long has. */
  private static boolean isTag(String word) {
    return word.length() <= 18
        && !word.isEmpty()
        && word.charAt(0) != '0'
        && word.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  @Override
  public void idle() {
    closeIfDone();
  }

  /**
   * A client that closed, or one that sends no more but reads. What is out may still be answered;
   * no attempt more is begun for it, and after a moment none goes out that waits for its connection
   * to come up.
   */
  @Override
  public void inputClosed() {
    lastFrame = true;
    open.values().forEach(held -> held.noMore = true);
    leaving = clock.after(LEFT_AFTER, () -> List.copyOf(open.values()).forEach(admit::unwanted));
    closeIfDone();
  }

  /** What has come already, and waits to be used, is answered first. */
  @Override
  public void doorShut() {
    clock.handOver(this::closeIfDone);
  }

  /** A view of this connection is over. */
  void done(Held held) {
    open.remove(held.tag, held);
    usedAt = clock.now();
    if (lastFrame || admit.leaving()) {
      closeIfDone();
    }
  }

  private void closeIfDone() {
    if (open.isEmpty()) {
      lastFrame = true;
      outlet.connection.close(Ending.LET_GO, true);
    }
  }

  @Override
  public void ended(Ending ending) {
    if (patience != null) {
      patience.run();
    }
    leaving.run();
    dropBody();
    List.copyOf(open.values()).forEach(admit::vanished);
    outlet.ended();
  }
}
