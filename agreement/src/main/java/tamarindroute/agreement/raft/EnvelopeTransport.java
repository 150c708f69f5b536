package tamarindroute.agreement.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.util.function.BooleanSupplier;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Member;

/**
 * Sends MicroRaft's messages while the voter is running, each in an envelope that is addressed to
 * one incarnation of a voter.
 */
final class EnvelopeTransport implements Transport {

  private final long groupId;
  private final VoterTransport transport;
  private final BooleanSupplier isRunning;

  EnvelopeTransport(long groupId, VoterTransport transport, BooleanSupplier isRunning) {
    this.groupId = groupId;
    this.transport = transport;
    this.isRunning = isRunning;
  }

  @Override
  public void send(RaftEndpoint target, RaftMessage message) {
    if (!isRunning.getAsBoolean()) {
      return;
    }
    Member recipient = VoterEndpoint.memberOf(target);
    byte[] envelope =
        AgreementMessageCodec.encodeRaftMessage(
            groupId, recipient, RaftMessageEncoder.toProto(message));
    transport.send(recipient.address(), envelope);
  }

  @Override
  public boolean isReachable(RaftEndpoint endpoint) {
    return true;
  }
}
