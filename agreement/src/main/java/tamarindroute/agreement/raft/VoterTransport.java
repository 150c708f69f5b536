package tamarindroute.agreement.raft;

import tamarindroute.membership.Address;

/**
 * Sends messages between voters, and responses to members. Messages may be lost, delayed,
 * duplicated or reordered.
 */
@FunctionalInterface
public interface VoterTransport {

  /**
   * Sends a message without waiting for its delivery. Failures are not reported.
   *
   * @param to address of the recipient
   * @param message at most {@link
   *     tamarindroute.agreement.wire.AgreementMessageCodec#MAX_MESSAGE_BYTES} bytes
   */
  void send(Address to, byte[] message);
}
