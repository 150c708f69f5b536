package tamarindroute.members.wire;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import tamarindroute.membership.Member;
import tamarindroute.membership.Message;

/**
 * Message between members; one fills a datagram.
 *
 * @param lowestVersion lowest schema version that the sender reads
 * @param highestVersion highest schema version that the sender reads
 * @param sender who sent it
 * @param targetIncarnation incarnation of the receiver that it is meant for, 0 if unknown
 * @param payload the contents
 */
public record MemberMessage(
    int lowestVersion, int highestVersion, Member sender, long targetIncarnation, Payload payload) {

  /** Contents of a message. */
  public sealed interface Payload
      permits MembershipPayload, FactsPayload, AgreementPayload, FeedEventsPayload, LeasePayload {}

  /**
   * Message of the membership protocol.
   *
   * @param message its sender and target incarnation are those of the member message
   */
  public record MembershipPayload(Message message) implements Payload {}

  /**
   * Facts shared between members.
   *
   * @param bytes encoded by the package {@code facts}
   */
  // Equality compares the contents; the array is not copied, since nobody changes it.
  @SuppressWarnings("ArrayRecordComponent")
  public record FactsPayload(byte[] bytes) implements Payload {
    @Override
    public boolean equals(Object other) {
      return other instanceof FactsPayload facts && Arrays.equals(bytes, facts.bytes);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(bytes);
    }
  }

  /**
   * Fragment of a message of the agreement.
   *
   * @param bytes the fragment with its header
   */
  // Equality compares the contents; the array is not copied, since nobody changes it.
  @SuppressWarnings("ArrayRecordComponent")
  public record AgreementPayload(byte[] bytes) implements Payload {
    @Override
    public boolean equals(Object other) {
      return other instanceof AgreementPayload agreement && Arrays.equals(bytes, agreement.bytes);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(bytes);
    }
  }

  /**
   * Events of the control feed.
   *
   * @param lastNumber number of the last event that the sender knows
   * @param events events that the receiver may lack, with consecutive numbers
   */
  public record FeedEventsPayload(long lastNumber, List<FeedEvent> events) implements Payload {
    /** Copies the events. */
    public FeedEventsPayload {
      events = List.copyOf(events);
    }
  }

  /**
   * One event of the control feed.
   *
   * @param number its number in the feed
   * @param previousChecksum CRC-32 of the event before it
   * @param json the event as compact JSON
   */
  public record FeedEvent(long number, long previousChecksum, String json) {}

  /** Kinds of lease messages. The schema has the same names with a prefix. */
  public enum LeaseKind {
    /** A holder asks for a lease. */
    REQUEST,
    /** The allocator grants a lease. */
    GRANT,
    /** A holder uses nothing of what it requested any more. */
    RELEASE,
    /** A holder uses nothing any more and is about to end. */
    LEAVE,
    /** Finds out whether anybody listens at an address. */
    PROBE
  }

  /**
   * Message between a holder of quota leases and their allocator.
   *
   * @param quotaNumber number of the shared quota
   * @param kind what it says
   * @param holderIncarnation incarnation of the holder
   * @param requestNumber number of the holder's request that it refers to
   * @param shareMillionths the granted share, 0 except in a grant
   * @param duration for how long it is granted, zero except in a grant
   */
  public record LeasePayload(
      int quotaNumber,
      LeaseKind kind,
      long holderIncarnation,
      long requestNumber,
      long shareMillionths,
      Duration duration)
      implements Payload {}

  /** A message with the schema versions of this program. */
  public static MemberMessage of(Member sender, long targetIncarnation, Payload payload) {
    return new MemberMessage(
        MemberMessageCodec.LOWEST_VERSION,
        MemberMessageCodec.HIGHEST_VERSION,
        sender,
        targetIncarnation,
        payload);
  }

  /** A message of the membership protocol. */
  public static MemberMessage of(Message message) {
    return of(message.from(), message.targetIncarnation(), new MembershipPayload(message));
  }
}
