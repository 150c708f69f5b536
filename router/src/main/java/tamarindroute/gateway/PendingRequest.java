package tamarindroute.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.decision.Request;

/**
 * A view in hand, from its admission to its final answer and the end of its last trip. It owns what
 * the client sent and the trips that are out; it must never reach a socket itself.
 */
final class PendingRequest {

  final ClientConnection client;
  final String tag;
  final String id;
  final String requestClassName;
  final String objectId;
  final String idempotencyKey;
  final String clientCopyTag;
  final Request request;
  final ArrayDeque<IoBuffer> body;
  final int bodyLength;
  final List<AttemptSender.InFlightAttempt> inFlight = new ArrayList<>(2);
  Runnable decisionTimer = () -> {};
  Runnable deadlineTimer = () -> {};
  boolean finished;

  /** No further attempt is begun: its time is over, or its client has gone, or the gateway ends. */
  boolean noFurtherAttempts;

  /** Attempts that the module named and that were not begun for that. */
  int unsentAttempts;

  PendingRequest(
      ClientConnection client,
      ClientConnection.ClientCall call,
      Request request,
      String id,
      String objectId,
      String idempotencyKey,
      String clientCopyTag) {
    this.client = client;
    this.tag = call.tag();
    this.requestClassName = call.requestClass();
    this.body = call.body();
    this.bodyLength = call.bodyLength();
    this.request = request;
    this.id = id;
    this.objectId = objectId;
    this.idempotencyKey = idempotencyKey;
    this.clientCopyTag = clientCopyTag;
  }

  /** What the client still waits, as of now. */
  Duration timeLeft(Duration now) {
    return request.deadline.minus(now);
  }

  void releaseBody() {
    body.forEach(IoBuffer::free);
    body.clear();
  }
}
