package tamarindroute.nameserver;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import tamarindroute.dns.TcpMessageFramer;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;

/**
 * One client's TCP connection: queries are taken as they come and answered in any order (RFC 7766).
 * It must never hold an answer back in a queue: what a client leaves unread would be out of date
 * when it reads it.
 */
final class TcpQueryConnection implements ConnectionHandler {

  /** What takes a query; the answer comes once, null for none. */
  interface Taker {
    void taken(byte[] query, InetAddress from, Consumer<byte[]> answer);
  }

  /** A query's longest by RFC 1035 and what EDNS adds; nobody sends more. */
  private static final int LONGEST = 1024;

  /**
   * From a message's first byte to its last, and from the connection's start to its first message.
   */
  private static final Duration WHOLE = Duration.ofSeconds(2);

  /**
   * A drain holds within 500 ms for every answer given: what has not left after half of that never
   * will.
   */
  private static final Duration UNREAD = Duration.ofMillis(250);

  private final Scheduler scheduler;
  private final Connection connection;
  private InetAddress from;
  private final Duration idle;
  private final int most;
  private final Taker taker;
  private final TcpMessageFramer framer = new TcpMessageFramer(LONGEST);
  private Duration usedAt;
  private Runnable patience;
  private Runnable unread;
  private int open;
  private boolean last;
  private boolean over;

  TcpQueryConnection(
      Scheduler scheduler, Connection connection, Duration idle, int most, Taker taker) {
    this.scheduler = scheduler;
    this.connection = connection;
    this.idle = idle;
    this.most = most;
    this.taker = taker;
    this.usedAt = scheduler.now();
    this.patience = scheduler.schedule(WHOLE, this::waited);
  }

  @Override
  public void onOpened() {
    InetSocketAddress remote = connection.remoteAddress();
    if (remote == null) {
      connection.close(CloseReason.CLOSED_LOCALLY, false);
    } else {
      from = remote.getAddress();
    }
  }

  /** The time for a whole message, or for the next one, is over. */
  private void waited() {
    if (open > 0) {
      patience = scheduler.schedule(WHOLE, this::waited);
    } else {
      connection.close(CloseReason.CLOSED_LOCALLY, true);
    }
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      while (!connection.paused()) {
        byte[] query = last ? null : framer.nextMessage(bytes);
        if (query == null) {
          break;
        }
        open++;
        if (open >= most) {
          connection.pause();
        }
        taker.taken(query, from, this::answer);
      }
    } catch (MalformedMessageException e) {
      Log.info("query-unreadable", e.getMessage());
      connection.close(CloseReason.PROTOCOL_ERROR, false);
      return;
    }
    if (last) {
      bytes.position(bytes.limit());
    }
    if (!over) {
      patience.run();
      patience = scheduler.schedule(framer.isBetweenMessages() ? idle : WHOLE, this::waited);
    }
  }

  private void answer(byte[] bytes) {
    open--;
    usedAt = scheduler.now();
    if (over) {
      return;
    }
    if (bytes != null) {
      connection.write(TcpMessageFramer.frame(bytes));
      if (unread == null) {
        look();
      }
    }
    if (connection.paused() && open < most) {
      connection.resume();
    }
    closeIfDone();
  }

  /** Looks after a while whether what is written up to now has left. */
  private void look() {
    long mark = connection.bytesWritten();
    unread =
        scheduler.schedule(
            UNREAD,
            () -> {
              unread = null;
              if (over) {
                return;
              }
              if (!connection.isSent(mark)) {
                Log.info(
                    "query-unread", connection.unsentBytes() + " bytes of answers left unread");
                connection.close(CloseReason.CLOSED_LOCALLY, false);
              } else if (connection.unsentBytes() > 0) {
                look();
              }
            });
  }

  @Override
  public Duration idleSince() {
    return open > 0 ? null : usedAt;
  }

  @Override
  public void onInputClosed() {
    last = true;
    closeIfDone();
  }

  private void closeIfDone() {
    if (last && open == 0) {
      connection.close(CloseReason.CLOSED_LOCALLY, true);
    }
  }

  @Override
  public void onClosed(CloseReason closeReason) {
    over = true;
    patience.run();
    if (unread != null) {
      unread.run();
    }
  }
}
