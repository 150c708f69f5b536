package tamarindroute.members.shares;

import java.time.Duration;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessage.LeaseKind;
import tamarindroute.membership.Member;
import tamarindroute.shares.LeaseMessage;

/**
 * Converts the messages of one quota between the form of the package {@code shares} and payloads.
 */
final class LeasePayloadConverter {

  private final int quotaNumber;

  LeasePayloadConverter(int quotaNumber) {
    this.quotaNumber = quotaNumber;
  }

  MemberMessage.LeasePayload toPayload(LeaseMessage message) {
    if (message instanceof LeaseMessage.Grant grant) {
      return payload(LeaseKind.GRANT, grant, grant.share(), grant.leaseDuration());
    }
    LeaseKind kind = LeaseKind.REQUEST;
    if (message instanceof LeaseMessage.Release) {
      kind = LeaseKind.RELEASE;
    } else if (message instanceof LeaseMessage.Leave) {
      kind = LeaseKind.LEAVE;
    }
    return payload(kind, message, 0, Duration.ZERO);
  }

  private MemberMessage.LeasePayload payload(
      LeaseKind kind, LeaseMessage message, long shareMillionths, Duration duration) {
    return new MemberMessage.LeasePayload(
        quotaNumber,
        kind,
        message.holder().incarnation(),
        message.requestNumber(),
        shareMillionths,
        duration);
  }

  MemberMessage.LeasePayload probe() {
    return new MemberMessage.LeasePayload(quotaNumber, LeaseKind.PROBE, 0, 0, 0, Duration.ZERO);
  }

  /**
   * Converts a message from a holder to its allocator.
   *
   * @param payload of the kind {@code REQUEST}, {@code RELEASE} or {@code LEAVE}
   */
  static LeaseMessage fromHolder(Member holder, MemberMessage.LeasePayload payload) {
    long requestNumber = payload.requestNumber();
    return switch (payload.kind()) {
      case REQUEST -> new LeaseMessage.Request(holder, requestNumber);
      case RELEASE -> new LeaseMessage.Release(holder, requestNumber);
      case LEAVE -> new LeaseMessage.Leave(holder, requestNumber);
      case GRANT, PROBE ->
          throw new IllegalArgumentException(payload.kind() + " is not sent by a holder");
    };
  }

  static LeaseMessage.Grant toGrant(Member holder, MemberMessage.LeasePayload payload) {
    return new LeaseMessage.Grant(
        holder, payload.requestNumber(), payload.shareMillionths(), payload.duration());
  }
}
