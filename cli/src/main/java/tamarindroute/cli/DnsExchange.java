package tamarindroute.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.xbill.DNS.Message;
import tamarindroute.dns.Frames;
import tamarindroute.host.EventLoop;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.MalformedMessageException;

/** One DNS query and its answer, with event loop and sockets of its own. */
final class DnsExchange implements AutoCloseable {

  private static final long MEMORY_BYTES = 64 << 20;
  private static final int DESCRIPTORS = 256;

  /** The byte of a message with the flag TC, and the flag. */
  private static final int TRUNCATED_OFFSET = 2;

  private static final int TRUNCATED_FLAG = 0x02;

  private final InetSocketAddress server;
  private final byte[] query;
  private final EventLoop eventLoop = new EventLoop();
  private final DatagramTransport datagrams = new DatagramTransport(eventLoop);
  private final SocketTransport streams =
      new SocketTransport(eventLoop, new BufferPool(MEMORY_BYTES), DESCRIPTORS);
  private final CompletableFuture<byte[]> answer = new CompletableFuture<>();

  DnsExchange(InetSocketAddress server, Message query) {
    this.server = server;
    this.query = query.toWire();
  }

  /** Sends the query by UDP, and by TCP if the answer is truncated. Fails if no answer can come. */
  CompletableFuture<byte[]> send() {
    eventLoop.execute(() -> datagrams.query(server, query, new DatagramAnswer()));
    return answer;
  }

  /** Sends the query by TCP. Fails if no answer can come. */
  CompletableFuture<byte[]> sendByTcp() {
    eventLoop.execute(this::connect);
    return answer;
  }

  private void connect() {
    StreamAnswer handler = new StreamAnswer();
    handler.connection = streams.connect(server, handler);
  }

  private void fail(CloseReason closeReason) {
    answer.completeExceptionally(new IOException(closeReason.toString()));
  }

  private final class DatagramAnswer implements DatagramTransport.ReplyHandler {

    @Override
    public void onReply(byte[] bytes) {
      if (isTruncated(bytes)) {
        connect();
      } else {
        answer.complete(bytes);
      }
    }

    private static boolean isTruncated(byte[] bytes) {
      return bytes.length > TRUNCATED_OFFSET && (bytes[TRUNCATED_OFFSET] & TRUNCATED_FLAG) != 0;
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      fail(closeReason);
    }
  }

  private final class StreamAnswer implements ConnectionHandler {

    private final Frames frames = new Frames(Message.MAXLENGTH);
    private Connection connection;

    @Override
    public void onOpened() {
      connection.write(Frames.frame(query));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      try {
        byte[] message = frames.next(bytes);
        if (message != null) {
          answer.complete(message);
        }
      } catch (MalformedMessageException e) {
        answer.completeExceptionally(e);
      }
      bytes.position(bytes.limit());
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      fail(closeReason);
    }
  }

  /** Closes the sockets; the event loop's thread continues. */
  @Override
  public void close() {
    streams.shutDown();
    datagrams.shutDown();
  }
}
