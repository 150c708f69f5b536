package tamarindroute.net;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;

/**
 * A request or health check on a connection to a cache, from when it waits to be written until its
 * response is complete.
 */
final class PendingRequest {

  private static final long NOT_WRITTEN = Long.MAX_VALUE;

  final ResponseHandler handler;
  private final boolean healthCheck;
  private final int bodyLength;
  private Supplier<String> fields;
  private Iterable<IoBuffer> body;
  private long endOffset = NOT_WRITTEN;
  private Duration writtenAt;
  private long writtenInRead;

  private PendingRequest(
      ResponseHandler handler,
      boolean healthCheck,
      Supplier<String> fields,
      Iterable<IoBuffer> body,
      int bodyLength) {
    this.handler = handler;
    this.healthCheck = healthCheck;
    this.fields = fields;
    this.body = body;
    this.bodyLength = bodyLength;
  }

  /** A request; its fields are evaluated when it is written. */
  static PendingRequest request(
      Supplier<String> fields, Iterable<IoBuffer> body, int bodyLength, ResponseHandler handler) {
    return new PendingRequest(handler, false, fields, body, bodyLength);
  }

  /** A health check. */
  static PendingRequest healthCheck(ResponseHandler handler) {
    return new PendingRequest(handler, true, null, List.of(), 0);
  }

  boolean isHealthCheck() {
    return healthCheck;
  }

  Supplier<String> fields() {
    return fields;
  }

  Iterable<IoBuffer> body() {
    return body;
  }

  int bodyLength() {
    return bodyLength;
  }

  /**
   * Notes that the request was written, and releases its content.
   *
   * @param end the offset of the connection's output at which the request ends
   * @param at the time by the scheduler's clock
   * @param readNumber the number of the connection's last read before the request was written
   */
  void onWritten(long end, Duration at, long readNumber) {
    endOffset = end;
    writtenAt = at;
    writtenInRead = readNumber;
    fields = null;
    body = null;
  }

  /** Whether the request was given to the connection to be sent. */
  boolean isWritten() {
    return endOffset != NOT_WRITTEN;
  }

  /** Whether the request was passed to the operating system completely. */
  boolean isSent(Connection connection) {
    return connection.isSent(endOffset);
  }

  /** Whether nothing was received on the connection since the request was written. */
  boolean isNewerThan(Duration receivedAt) {
    return receivedAt.compareTo(writtenAt) < 0;
  }

  /**
   * Whether a response that began in this read was read before the request was written, and so is
   * not its response.
   */
  boolean isLaterThanRead(long readNumber) {
    return readNumber <= writtenInRead;
  }
}
