package tamarindroute.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import tamarindroute.decision.Outcome.Result;

/** Why a connection ended, and what that means for the attempts that were in flight on it. */
public enum CloseReason {
  /** The other machine refused the connection: nobody listens there. */
  REFUSED(Result.CONNECT_FAILED),
  /** There is no route to the other machine. */
  UNREACHABLE(Result.CONNECT_FAILED),
  /** The connection was not established, or a response did not begin, within the time limit. */
  TIMED_OUT(Result.CONNECT_FAILED),
  /** This process has no file descriptor left for the connection. */
  NO_DESCRIPTOR(Result.NOT_SENT),
  /** The request was no longer wanted when its connection was established. */
  NO_LONGER_WANTED(Result.NOT_SENT),
  /** The other side closed the connection in order. */
  CLOSED(Result.CONNECTION_LOST),
  /** The other process died, or its machine dropped the connection. */
  RESET(Result.CONNECTION_LOST),
  /** The other side stopped in the middle of a response. */
  STALLED(Result.CONNECTION_LOST),
  /** The other side violated the protocol. */
  PROTOCOL_ERROR(Result.CONNECTION_LOST),
  /** This process closed the connection, because it was idle or no longer wanted. */
  CLOSED_LOCALLY(Result.CANCELLED);

  private final Result resultIfWritten;

  CloseReason(Result resultIfWritten) {
    this.resultIfWritten = resultIfWritten;
  }

  /** The reason why a connection could not be established, from the exception that MINA reports. */
  static CloseReason ofConnectFailure(Throwable failure) {
    String message = String.valueOf(failure.getMessage());
    if (message.contains("Too many open files")) {
      return NO_DESCRIPTOR;
    }
    if (failure instanceof NoRouteToHostException || message.contains("unreachable")) {
      return UNREACHABLE;
    }
    if (failure instanceof ConnectException) {
      return message.contains("refused") ? REFUSED : TIMED_OUT;
    }
    return failure instanceof IOException ? RESET : UNREACHABLE;
  }

  /**
   * The result of an attempt on a connection that ended so.
   *
   * @param written whether the request may have been written completely; if not, it cannot have
   *     been executed
   */
  public Result result(boolean written) {
    if (written || resultIfWritten.provesNotExecuted) {
      return resultIfWritten;
    }
    // A local close says nothing against the cache.
    return this == CLOSED_LOCALLY ? Result.NOT_SENT : Result.CONNECT_FAILED;
  }

  /**
   * Whether this process ended the connection. MINA may then still be writing, and reports what it
   * has written only afterwards; when the other side ends the connection, all writes were reported
   * before.
   */
  boolean isLocal() {
    return this == STALLED || this == PROTOCOL_ERROR || this == CLOSED_LOCALLY;
  }
}
