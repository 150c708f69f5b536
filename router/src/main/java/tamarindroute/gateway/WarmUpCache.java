package tamarindroute.gateway;

import java.nio.ByteBuffer;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;

/** Stands in for the caches during the warm-up: serves most requests and misses some. */
final class WarmUpCache implements ConnectionHandler {

  private final Connection connection;
  private final WarmUp warmUp;
  private final RespReader reader =
      new RespReader(
          CacheProtocol.MAX_ARGUMENTS, CacheProtocol.MAX_ARGUMENT_BYTES, WarmUp.BODY_LENGTH);
  private final byte[] body = new byte[WarmUp.BODY_LENGTH];

  WarmUpCache(Connection connection, WarmUp warmUp) {
    this.connection = connection;
    this.warmUp = warmUp;
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      RespReader.Step step = reader.next(bytes);
      while (step != RespReader.Step.NEED_MORE_BYTES) {
        if (step == RespReader.Step.END && CacheProtocol.isRequest(reader.arguments())) {
          respond(reader.arguments().get(1));
        }
        step = reader.next(bytes);
      }
    } catch (MalformedMessageException e) {
      connection.close(CloseReason.PROTOCOL_ERROR, false);
    }
  }

  private void respond(String requestId) {
    if (warmUp.nextRequestMisses()) {
      write(CacheProtocol.encodeResponseHeader(requestId, CacheStatus.MISS, null, 0));
    } else {
      write(
          CacheProtocol.encodeResponseHeader(
              requestId,
              CacheStatus.SERVED,
              CacheResponse.hitFields(WarmUp.MARKER, 0),
              body.length));
      connection.write(body.clone());
    }
    write(RespWriter.frameTrailer());
  }

  // The writer returns buffers that wrap a whole array.
  @SuppressWarnings("ByteBufferBackingArray")
  private void write(ByteBuffer bytes) {
    connection.write(bytes.array());
  }

  @Override
  public void onInputClosed() {
    connection.close(CloseReason.CLOSED_LOCALLY, false);
  }

  @Override
  public void onClosed(CloseReason reason) {}
}
