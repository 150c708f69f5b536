package tamarindroute.members.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.members.wire.form.Envelope;
import tamarindroute.members.wire.form.WireFeedEvent;
import tamarindroute.members.wire.form.WireFeedEvents;
import tamarindroute.members.wire.form.WireLease;
import tamarindroute.members.wire.form.WireLeaseKind;
import tamarindroute.membership.Member;
import tamarindroute.membership.Message;
import tamarindroute.protocol.MalformedMessageException;

/** Encodes and decodes member messages as protobuf, see {@code members.proto}. */
public final class MemberMessageCodec {

  /** Lowest schema version that this program reads, and the one it writes. */
  public static final int LOWEST_VERSION = 1;

  /** Highest schema version that this program reads. */
  public static final int HIGHEST_VERSION = 1;

  /** Bytes that authentication adds to a message: key id, incarnation, counter and HMAC. */
  private static final int AUTHENTICATION_BYTES = 49;

  private static final int MAX_DATAGRAM_BYTES = 4_096;

  /** Longest encoded message. */
  public static final int MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - AUTHENTICATION_BYTES;

  /** Bytes of the tag and the length that precede a payload. */
  private static final int PAYLOAD_HEADER_BYTES = 4;

  /** Precedes the names of {@link MemberMessage.LeaseKind} in the schema. */
  private static final String LEASE_KIND_PREFIX = "LEASE_";

  private MemberMessageCodec() {}

  /**
   * Whether a host can be part of a member's address. Names are not accepted: resolving one would
   * block the event loop.
   */
  public static boolean isNumericHost(String host) {
    return WireFields.isNumericHost(host);
  }

  /**
   * Encodes a message. Updates of the membership are left out if they do not fit.
   *
   * @throws IllegalArgumentException if another payload does not fit
   */
  public static byte[] encode(MemberMessage message) {
    Envelope.Builder envelope =
        Envelope.newBuilder()
            .setLowestVersion(message.lowestVersion())
            .setHighestVersion(message.highestVersion())
            .setVersion(LOWEST_VERSION)
            .setSender(WireFields.encodeMember(message.sender()))
            .setTargetIncarnation(message.targetIncarnation());
    MemberMessage.Payload payload = message.payload();
    if (payload instanceof MemberMessage.MembershipPayload membership) {
      encodeMembership(envelope, membership.message());
    } else if (payload instanceof MemberMessage.FactsPayload facts) {
      envelope.setFacts(ByteString.copyFrom(facts.bytes()));
    } else if (payload instanceof MemberMessage.AgreementPayload agreement) {
      envelope.setAgreement(ByteString.copyFrom(agreement.bytes()));
    } else if (payload instanceof MemberMessage.FeedEventsPayload events) {
      envelope.setFeedEvents(encodeFeedEvents(events));
    } else if (payload instanceof MemberMessage.LeasePayload lease) {
      envelope.setLease(encodeLease(lease));
    }
    byte[] bytes = envelope.build().toByteArray();
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new IllegalArgumentException(
          "message of " + bytes.length + " bytes is longer than " + MAX_MESSAGE_BYTES);
    }
    return bytes;
  }

  private static void encodeMembership(Envelope.Builder envelope, Message message) {
    int usedBytes = envelope.build().getSerializedSize() + PAYLOAD_HEADER_BYTES;
    envelope.setMembership(MembershipPayloadCodec.encode(message, MAX_MESSAGE_BYTES - usedBytes));
  }

  private static WireFeedEvents encodeFeedEvents(MemberMessage.FeedEventsPayload payload) {
    WireFeedEvents.Builder builder =
        WireFeedEvents.newBuilder().setLastNumber(payload.lastNumber());
    for (MemberMessage.FeedEvent event : payload.events()) {
      builder.addEvents(
          WireFeedEvent.newBuilder()
              .setNumber(event.number())
              .setPreviousChecksum((int) event.previousChecksum())
              .setJson(event.json()));
    }
    return builder.build();
  }

  private static WireLease encodeLease(MemberMessage.LeasePayload lease) {
    return WireLease.newBuilder()
        .setQuotaNumber(lease.quotaNumber())
        .setKind(WireLeaseKind.valueOf(LEASE_KIND_PREFIX + lease.kind().name()))
        .setHolderIncarnation(lease.holderIncarnation())
        .setRequestNumber(lease.requestNumber())
        .setShareMillionths(lease.shareMillionths())
        .setDurationMs((int) lease.duration().toMillis())
        .build();
  }

  /**
   * Decodes a message completely.
   *
   * @throws MalformedMessageException if the bytes are not of the schema, of a version that is not
   *     read here, or a field is out of its bounds
   */
  public static MemberMessage decode(byte[] bytes) throws MalformedMessageException {
    Envelope envelope = parse(bytes);
    checkVersions(envelope);
    Member sender = WireFields.decodeMember("sender", envelope.hasSender(), envelope.getSender());
    long targetIncarnation =
        WireFields.requireNonNegative("target incarnation", envelope.getTargetIncarnation());
    return new MemberMessage(
        envelope.getLowestVersion(),
        envelope.getHighestVersion(),
        sender,
        targetIncarnation,
        decodePayload(envelope, sender, targetIncarnation));
  }

  private static Envelope parse(byte[] bytes) throws MalformedMessageException {
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new MalformedMessageException(
          "message of " + bytes.length + " bytes is longer than " + MAX_MESSAGE_BYTES);
    }
    try {
      return Envelope.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedMessageException("message is not of the schema: " + e.getMessage());
    }
  }

  private static void checkVersions(Envelope envelope) throws MalformedMessageException {
    int lowest = WireFields.requireVersion("lowest version", envelope.getLowestVersion());
    int highest = WireFields.requireVersion("highest version", envelope.getHighestVersion());
    int version = envelope.getVersion();
    if (lowest > highest) {
      throw new MalformedMessageException(
          "lowest version " + lowest + " is above the highest, " + highest);
    }
    if (version < LOWEST_VERSION || version > HIGHEST_VERSION) {
      throw new MalformedMessageException(
          "schema version %s is not read here, only %d to %d; its sender reads %d to %d"
              .formatted(
                  Integer.toUnsignedString(version),
                  LOWEST_VERSION,
                  HIGHEST_VERSION,
                  lowest,
                  highest));
    }
  }

  private static MemberMessage.Payload decodePayload(
      Envelope envelope, Member sender, long targetIncarnation) throws MalformedMessageException {
    return switch (envelope.getPayloadCase()) {
      case MEMBERSHIP ->
          new MemberMessage.MembershipPayload(
              MembershipPayloadCodec.decode(envelope.getMembership(), sender, targetIncarnation));
      case FACTS -> new MemberMessage.FactsPayload(envelope.getFacts().toByteArray());
      case AGREEMENT -> new MemberMessage.AgreementPayload(envelope.getAgreement().toByteArray());
      case FEED_EVENTS -> decodeFeedEvents(envelope.getFeedEvents());
      case LEASE -> decodeLease(envelope.getLease());
      case PAYLOAD_NOT_SET -> throw new MalformedMessageException("payload is missing or unknown");
    };
  }

  private static MemberMessage.FeedEventsPayload decodeFeedEvents(WireFeedEvents message)
      throws MalformedMessageException {
    List<MemberMessage.FeedEvent> events = new ArrayList<>(message.getEventsCount());
    long nextNumber = 0;
    for (WireFeedEvent event : message.getEventsList()) {
      long number = event.getNumber();
      boolean outOfOrder = nextNumber > 0 && number != nextNumber;
      if (number <= 0 || outOfOrder) {
        throw new MalformedMessageException(
            "feed event " + number + " is not the next one, expected " + nextNumber);
      }
      nextNumber = number + 1;
      long previousChecksum = Integer.toUnsignedLong(event.getPreviousChecksum());
      events.add(new MemberMessage.FeedEvent(number, previousChecksum, event.getJson()));
    }
    long lastNumber = WireFields.requireNonNegative("last event number", message.getLastNumber());
    if (nextNumber > 0 && nextNumber - 1 > lastNumber) {
      throw new MalformedMessageException(
          "feed event " + (nextNumber - 1) + " is after the last, " + lastNumber);
    }
    return new MemberMessage.FeedEventsPayload(lastNumber, events);
  }

  private static MemberMessage.LeasePayload decodeLease(WireLease lease)
      throws MalformedMessageException {
    if (lease.getKind() == WireLeaseKind.LEASE_NONE
        || lease.getKind() == WireLeaseKind.UNRECOGNIZED) {
      throw new MalformedMessageException(
          "lease message kind " + lease.getKindValue() + " is unknown");
    }
    String kind = lease.getKind().name().substring(LEASE_KIND_PREFIX.length());
    long durationMs = WireFields.requireNonNegative("lease duration", lease.getDurationMs());
    return new MemberMessage.LeasePayload(
        (int) WireFields.requireNonNegative("quota number", lease.getQuotaNumber()),
        MemberMessage.LeaseKind.valueOf(kind),
        WireFields.requireNonNegative("holder incarnation", lease.getHolderIncarnation()),
        WireFields.requireNonNegative("request number", lease.getRequestNumber()),
        WireFields.requireNonNegative("share", lease.getShareMillionths()),
        Duration.ofMillis(durationMs));
  }
}
