package tamarindroute.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;
import tamarindroute.protocol.CallFields;

/**
 * An admitted request, from its admission to its final response and the end of its last attempt.
 *
 * <p>It is open until {@link #finish}; the client gets no response after that, but attempts may
 * still be in flight. The client's body is kept for further attempts and freed once the request is
 * finished and nothing is in flight.
 */
final class PendingRequest {

  final ClientConnection client;
  final String tag;
  final String requestClassName;
  final CallFields fields;
  final Request request;
  final int bodyLength;

  private final ArrayDeque<IoBuffer> body;
  private final List<AttemptSender.InFlightAttempt> inFlight = new ArrayList<>(2);
  private Runnable cancelDecisionTimer = () -> {};
  private Runnable cancelDeadlineTimer = () -> {};
  private boolean finished;
  private boolean attemptsStopped;
  private int unsentAttempts;

  PendingRequest(
      ClientConnection client,
      ClientConnection.ReceivedCall received,
      CallFields fields,
      Request request) {
    this.client = client;
    this.tag = received.call().tag();
    this.requestClassName = received.call().requestClass();
    this.body = received.body();
    this.bodyLength = received.bodyLength();
    this.fields = fields;
    this.request = request;
  }

  /** Id that the client gave the request, unique among those in flight. */
  String id() {
    return fields.requestId();
  }

  /** The client's body; empty once it is freed. */
  Iterable<IoBuffer> body() {
    return body;
  }

  /** How long the client still waits; negative past the deadline. */
  Duration timeLeft(Duration now) {
    return request.deadline.minus(now);
  }

  void setDeadlineTimer(Runnable cancel) {
    cancelDeadlineTimer = cancel;
  }

  /** Sets the timer of the next decision in place of the former one. */
  void setDecisionTimer(Runnable cancel) {
    cancelDecisionTimer.run();
    cancelDecisionTimer = cancel;
  }

  void stopDecisionTimer() {
    cancelDecisionTimer.run();
  }

  /** Whether the client needs no response any more. */
  boolean isFinished() {
    return finished;
  }

  /**
   * Marks that the client needs no response any more, and stops the timers.
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
   * From now on no attempt is begun: the deadline has passed, the client has gone or the gateway
   * stops.
   */
  void stopAttempts() {
    attemptsStopped = true;
  }

  boolean areAttemptsStopped() {
    return attemptsStopped;
  }

  /** Counts an attempt that was decided on and not begun; returns how many there were. */
  int countUnsentAttempt() {
    unsentAttempts++;
    return unsentAttempts;
  }

  /** Attempts in flight, as of now. */
  List<AttemptSender.InFlightAttempt> inFlight() {
    return List.copyOf(inFlight);
  }

  /** The attempt in flight that was decided on so; null if it has ended. */
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
   * Notes that an attempt has ended.
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
