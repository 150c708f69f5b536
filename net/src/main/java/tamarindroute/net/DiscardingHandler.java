package tamarindroute.net;

import java.nio.ByteBuffer;

/** Handles a connection that was not admitted: ignores all that is received. */
enum DiscardingHandler implements ConnectionHandler {
  INSTANCE;

  @Override
  public void onReceived(ByteBuffer bytes) {
    bytes.position(bytes.limit());
  }

  @Override
  public void onClosed(CloseReason closeReason) {
    // Nobody waits for it.
  }
}
