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

/** Sends one DNS query on an event loop of its own: by UDP, and by TCP if that is truncated. */
final class QueryExchange {

  private static final long BUFFER_BYTES = 64 << 20;
  private static final int MAX_DESCRIPTORS = 256;

  /** Position and bit of the flag TC in a message's header (RFC 1035, 4.1.1). */
  private static final int FLAGS_INDEX = 2;

  private static final int TRUNCATED_BIT = 0x02;

  private final InetSocketAddress server;
  private final Message query;
  private final EventLoop eventLoop = new EventLoop();
  private final DatagramTransport datagrams = new DatagramTransport(eventLoop);
  private final SocketTransport sockets =
      new SocketTransport(eventLoop, new BufferPool(BUFFER_BYTES), MAX_DESCRIPTORS);
  private final CompletableFuture<byte[]> response = new CompletableFuture<>();

  QueryExchange(InetSocketAddress server, Message query) throws IOException {
    this.server = server;
    this.query = query;
  }

  /** Sends the query; the returned future gets the response or an {@link IOException}. */
  CompletableFuture<byte[]> start(boolean tcp) {
    eventLoop.execute(tcp ? this::sendByTcp : this::sendByUdp);
    return response;
  }

  /** Closes the sockets; the event loop's thread goes on. */
  void shutDown() {
    sockets.shutDown();
    datagrams.shutDown();
  }

  private void sendByUdp() {
    datagrams.query(server, query.toWire(), new DatagramReplyHandler());
  }

  private void sendByTcp() {
    new TcpHandler().connect();
  }

  private static boolean isTruncated(byte[] message) {
    return message.length > FLAGS_INDEX && (message[FLAGS_INDEX] & TRUNCATED_BIT) != 0;
  }

  private void fail(CloseReason closeReason) {
    response.completeExceptionally(new IOException(closeReason.toString()));
  }

  private final class DatagramReplyHandler implements DatagramTransport.ReplyHandler {

    @Override
    public void onReply(byte[] message) {
      if (isTruncated(message)) {
        sendByTcp();
      } else {
        response.complete(message);
      }
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      fail(closeReason);
    }
  }

  private final class TcpHandler implements ConnectionHandler {

    private final Frames frames = new Frames(Message.MAXLENGTH);
    private Connection connection;

    void connect() {
      connection = sockets.connect(server, this);
    }

    @Override
    public void onOpened() {
      connection.write(Frames.frame(query.toWire()));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      try {
        byte[] message = frames.next(bytes);
        if (message != null) {
          response.complete(message);
        }
      } catch (MalformedMessageException e) {
        response.completeExceptionally(e);
      }
      bytes.position(bytes.limit());
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      fail(closeReason);
    }
  }
}
