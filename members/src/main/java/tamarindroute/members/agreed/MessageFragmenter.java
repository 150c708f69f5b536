package tamarindroute.members.agreed;

import java.nio.ByteBuffer;
import tamarindroute.agreement.wire.AgreementMessageCodec;

/**
 * Cuts messages into fragments that fit into datagrams. A fragment starts with the number of its
 * message (8 bytes), its index and the number of fragments (2 bytes each).
 */
final class MessageFragmenter {

  /** Bytes of a fragment without its header; with the longest addresses it fits into a datagram. */
  static final int FRAGMENT_BYTES = 3_840;

  static final int HEADER_BYTES = Long.BYTES + 2 * Short.BYTES;

  /** Fragments of the longest message. */
  static final int MAX_FRAGMENTS =
      (AgreementMessageCodec.MAX_MESSAGE_BYTES + FRAGMENT_BYTES - 1) / FRAGMENT_BYTES;

  private MessageFragmenter() {}

  static int fragmentCount(byte[] message) {
    return (message.length + FRAGMENT_BYTES - 1) / FRAGMENT_BYTES;
  }

  /** One fragment of a message, with its header. */
  static byte[] fragment(byte[] message, long number, int index) {
    int offset = index * FRAGMENT_BYTES;
    int length = Math.min(FRAGMENT_BYTES, message.length - offset);
    return ByteBuffer.allocate(HEADER_BYTES + length)
        .putLong(number)
        .putShort((short) index)
        .putShort((short) fragmentCount(message))
        .put(message, offset, length)
        .array();
  }
}
