package tamarindroute.members;

import tamarindroute.net.CloseReason;
import tamarindroute.net.DatagramTransport;

/**
 * Waits for a datagram to be refused, because nobody listens at its address.
 *
 * @param onRefused called if it is
 */
record RefusalHandler(Runnable onRefused) implements DatagramTransport.ReplyHandler {

  @Override
  public void onReply(byte[] bytes) {}

  @Override
  public void onClosed(CloseReason closeReason) {
    if (closeReason == CloseReason.REFUSED) {
      onRefused.run();
    }
  }
}
