package tamarindroute.net;

import java.nio.ByteBuffer;
import tamarindroute.protocol.Fields;

/** Who waits for the answer to one request to a cache; called on the owner's thread. */
public interface Asked {

  /**
   * Whether the request may go out still, now that the connection it waited for is up; asked as it
   * is written.
   */
  default boolean stillWanted() {
    return true;
  }

  /** The answer begins; its body, so long, is yet to come. */
  void answered(String word, Fields fields, int length);

  /** A part of the body, on this connection, which may be paused. */
  void body(ByteBuffer part, Connection from);

  /** The answer is whole. */
  void whole();

  /**
   * The connection ended before the answer was whole; written is whether it may have left whole.
   */
  void ended(Ending ending, boolean written);
}
