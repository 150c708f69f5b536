package tamarindroute.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;
import tamarindroute.net.UsedConnections;
import tamarindroute.protocol.CallFields;

/**
 * An admitted request, from its admission to its final response and the end of its last attempt.
 *
 * <p>The request is open until {@link #finish}. The client gets no response after that, but
 * attempts may still be in flight. The client's body is kept for further attempts, and is freed
 * once the request is finished and no attempt is in flight.
 */
final class PendingRequest {

  final ClientConnection client;
  final String tag;
  final String requestClassName;
  final CallFields fields;
  final Request request;
  final int bodyLength;

  private final boolean connectionPerAttempt;
  private final ArrayDeque<IoBuffer> body;
  private final List<AttemptSender.InFlightAttempt> inFlight = new ArrayList<>(2);
  private Runnable cancelDecisionTimer = () -> {};
  private Runnable cancelDeadlineTimer = () -> {};
  private boolean finished;
  private boolean attemptsStopped;
  private int unsentAttempts;

  /** Set for the first attempt. */
  private UsedConnections usedConnections;

  /**
   * Creates an open request.
   *
   * @param connectionPerAttempt whether each attempt needs a connection that no other one had
   */
  PendingRequest(
      ClientConnection client,
      ClientConnection.ReceivedCall received,
      CallFields fields,
      Request request,
      boolean connectionPerAttempt) {
    this.client = client;
    this.tag = received.call().tag();
    this.requestClassName = received.call().requestClass();
    this.body = received.body();
    this.bodyLength = received.bodyLength();
    this.fields = fields;
    this.request = request;
    this.connectionPerAttempt = connectionPerAttempt;
  }

  /** Returns the request id that the client chose, unique among the requests in flight. */
  String id() {
    return fields.requestId();
  }

  /** Returns the buffers of the client's body; empty once they are freed. */
  Iterable<IoBuffer> body() {
    return body;
  }

  /** Returns the time left until the deadline; negative after the deadline. */
  Duration timeLeft(Duration now) {
    return request.deadline.minus(now);
  }

  void setDeadlineTimer(Runnable cancel) {
    cancelDeadlineTimer = cancel;
  }

  /** Replaces the timer of the next decision and cancels the previous one. */
  void setDecisionTimer(Runnable cancel) {
    cancelDecisionTimer.run();
    cancelDecisionTimer = cancel;
  }

  void stopDecisionTimer() {
    cancelDecisionTimer.run();
  }

  /** Whether the request had its final response or needs none. */
  boolean isFinished() {
    return finished;
  }

  /**
   * Marks the request as finished and stops its timers.
   *
   * @return false if the request was finished before
   */
  boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    cancelDecisionTimer.run();
    cancelDeadlineTimer.run();
    releaseBodyIfUnused();
    return true;
  }

  /**
   * Prevents further attempts, because the deadline has passed, the client has gone or the gateway
   * shuts down.
   */
  void stopAttempts() {
    attemptsStopped = true;
  }

  boolean areAttemptsStopped() {
    return attemptsStopped;
  }

  /** Counts an attempt that was decided on but not sent, and returns the count so far. */
  int countUnsentAttempt() {
    unsentAttempts++;
    return unsentAttempts;
  }

  /**
   * Returns the connections that attempts of this request have used. They count only where a second
   * response that passes for the next attempt's would do harm.
   */
  UsedConnections usedConnections() {
    if (usedConnections == null) {
      usedConnections =
          connectionPerAttempt ? UsedConnections.tracked() : UsedConnections.untracked();
    }
    return usedConnections;
  }

  /** Returns a snapshot of the attempts in flight. */
  List<AttemptSender.InFlightAttempt> inFlight() {
    return List.copyOf(inFlight);
  }

  /** Returns the in-flight state of an attempt; null if the attempt has ended. */
  AttemptSender.InFlightAttempt inFlight(Attempt attempt) {
    for (AttemptSender.InFlightAttempt candidate : inFlight) {
      if (candidate.attempt == attempt) {
        return candidate;
      }
    }
    return null;
  }

  void add(AttemptSender.InFlightAttempt attempt) {
    inFlight.add(attempt);
  }

  /**
   * Records that an attempt has ended.
   *
   * @return false if it had ended before
   */
  boolean remove(AttemptSender.InFlightAttempt attempt) {
    if (!inFlight.remove(attempt)) {
      return false;
    }
    releaseBodyIfUnused();
    return true;
  }

  private void releaseBodyIfUnused() {
    if (finished && inFlight.isEmpty()) {
      body.forEach(IoBuffer::free);
      body.clear();
    }
  }
}
