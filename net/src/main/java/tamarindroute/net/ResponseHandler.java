package tamarindroute.net;

import java.nio.ByteBuffer;
import tamarindroute.protocol.FieldList;

/** Who waits for the answer to one request to a cache; called on the owner's thread. */
public interface ResponseHandler {

  /**
   * Whether the request may go out still, now that the connection it waited for is up; asked as it
   * is written.
   */
  default boolean isStillWanted() {
    return true;
  }

  /** The answer begins; its body, so long, is yet to come. */
  void onResponse(String word, FieldList fields, int length);

  /** A part of the body, on this connection, which may be paused. */
  void onBody(ByteBuffer part, Connection from);

  /** The answer is whole. */
  void onComplete();

  /**
   * The connection ended before the answer was whole; written is whether it may have left whole.
   */
  void onFailure(CloseReason closeReason, boolean written);
}
