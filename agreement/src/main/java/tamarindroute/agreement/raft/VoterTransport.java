package tamarindroute.agreement.raft;

import tamarindroute.membership.Address;

/**
 * Carries messages between voters, and back to whoever asked. A message may be lost, late, doubled,
 * out of order.
 */
@FunctionalInterface
public interface VoterTransport {

  /**
   * At most {@link tamarindroute.agreement.wire.AgreementMessageCodec#MESSAGE_MOST} bytes; returns
   * at once, and tells nothing back.
   */
  void send(Address to, byte[] message);
}
