package tamarindroute.members.wire;

import java.util.ArrayList;
import java.util.List;
import tamarindroute.members.wire.form.WireMemberState;
import tamarindroute.members.wire.form.WireMembershipMessage;
import tamarindroute.members.wire.form.WireMessageKind;
import tamarindroute.members.wire.form.WireUpdate;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.MembershipUpdate;
import tamarindroute.membership.Message;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Encodes and decodes messages of the membership protocol. The enum constants of the schema have
 * the names of those of the program.
 */
final class MembershipPayloadCodec {

  /** An update takes at least 40 bytes, so more do not fit into a message. */
  static final int MAX_UPDATES = 100;

  /** Bytes of the tag and the length that precede an update. */
  private static final int UPDATE_HEADER_BYTES = 3;

  private MembershipPayloadCodec() {}

  /**
   * Encodes a message. Leaves out the last updates if not all fit; senders pass them on with later
   * messages.
   *
   * @param maxBytes bound on the encoded length
   */
  static WireMembershipMessage encode(Message message, int maxBytes) {
    WireMembershipMessage.Builder builder =
        WireMembershipMessage.newBuilder()
            .setKind(WireMessageKind.valueOf(message.kind().name()))
            .setRequestId(message.requestId());
    if (!message.subject().equals(message.from())) {
      builder.setSubject(WireFields.encodeMember(message.subject()));
    }
    int remainingBytes = maxBytes - builder.build().getSerializedSize();
    for (MembershipUpdate update : message.updates()) {
      WireUpdate encoded = encodeUpdate(update);
      remainingBytes -= encoded.getSerializedSize() + UPDATE_HEADER_BYTES;
      if (remainingBytes < 0 || builder.getUpdatesCount() == MAX_UPDATES) {
        break;
      }
      builder.addUpdates(encoded);
    }
    return builder.build();
  }

  private static WireUpdate encodeUpdate(MembershipUpdate update) {
    return WireUpdate.newBuilder()
        .setMember(WireFields.encodeMember(update.member()))
        .setState(WireMemberState.valueOf(update.state().name()))
        .setRefutation(update.refutation())
        .setObserverHost(update.observer().host())
        .setObserverPort(update.observer().port())
        .build();
  }

  static Message decode(WireMembershipMessage message, Member sender, long targetIncarnation)
      throws MalformedMessageException {
    if (message.getKind() == WireMessageKind.KIND_NONE
        || message.getKind() == WireMessageKind.UNRECOGNIZED) {
      throw new MalformedMessageException(
          "membership message kind " + message.getKindValue() + " is unknown");
    }
    if (message.getUpdatesCount() > MAX_UPDATES) {
      throw new MalformedMessageException(
          message.getUpdatesCount() + " updates are more than " + MAX_UPDATES);
    }
    Member subject =
        message.hasSubject()
            ? WireFields.decodeMember("subject", true, message.getSubject())
            : sender;
    List<MembershipUpdate> updates = new ArrayList<>(message.getUpdatesCount());
    for (WireUpdate update : message.getUpdatesList()) {
      updates.add(decodeUpdate(update));
    }
    return new Message(
        Message.Kind.valueOf(message.getKind().name()),
        sender,
        targetIncarnation,
        WireFields.requireNonNegative("request id", message.getRequestId()),
        subject,
        updates);
  }

  private static MembershipUpdate decodeUpdate(WireUpdate update) throws MalformedMessageException {
    if (update.getState() == WireMemberState.STATE_NONE
        || update.getState() == WireMemberState.UNRECOGNIZED) {
      throw new MalformedMessageException("member state " + update.getStateValue() + " is unknown");
    }
    return new MembershipUpdate(
        WireFields.decodeMember("updated member", update.hasMember(), update.getMember()),
        MemberState.valueOf(update.getState().name()),
        WireFields.requireNonNegative("refutation", update.getRefutation()),
        WireFields.decodeAddress("observer", update.getObserverHost(), update.getObserverPort()));
  }
}
