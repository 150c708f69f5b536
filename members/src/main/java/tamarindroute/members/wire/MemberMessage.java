package tamarindroute.members.wire;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import tamarindroute.membership.Member;
import tamarindroute.membership.Message;

/**
 * What one datagram says, read whole.
 *
 * @param lowestVersion the lowest form level that its sender reads
 * @param highestVersion the highest
 * @param targetIncarnation the life it is meant for; 0 where the sender does not know it
 */
public record MemberMessage(
    int lowestVersion, int highestVersion, Member sender, long targetIncarnation, Payload payload) {

  /** What it carries; one kind a letter. */
  public sealed interface Payload
      permits MembershipPayload, FactsPayload, AgreementPayload, FeedEventsPayload, LeasePayload {}

  /** Who is there; its sender and the life it is meant for are the letter's. */
  public record MembershipPayload(Message message) implements Payload {}

  /** What members share, in the form of whoever holds facts. */
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

  /** A message of whoever keeps the agreed view. */
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
   * What the control feed told.
   *
   * @param lastNumber the number of the last event that the sender knows
   * @param events in the order of their numbers; the receiver may lack them
   */
  public record FeedEventsPayload(long lastNumber, List<FeedEvent> events) implements Payload {
    public FeedEventsPayload {
      events = List.copyOf(events);
    }
  }

  /** One event of the feed, as its JSON; before is the CRC-32 of the one that came before it. */
  public record FeedEvent(long number, long previousChecksum, String json) {}

  /** What a word about shares is. */
  public enum LeaseKind {
    ASK,
    GRANT,
    GIVE_BACK,
    LEAVE,
    PROBE
  }

  /**
   * A word of a holder or a dealer of shares.
   *
   * @param quotaNumber which bound is shared
   * @param holderIncarnation the holder's
   * @param requestNumber of the holder's asking that it is about
   * @param shareMillionths granted, in millionths, for so long
   */
  public record LeasePayload(
      int quotaNumber,
      LeaseKind kind,
      long holderIncarnation,
      long requestNumber,
      long shareMillionths,
      Duration duration)
      implements Payload {}

  /** Of this program's own form levels. */
  public static MemberMessage of(Member sender, long targetIncarnation, Payload payload) {
    return new MemberMessage(
        MemberMessageCodec.LOWEST_VERSION,
        MemberMessageCodec.HIGHEST_VERSION,
        sender,
        targetIncarnation,
        payload);
  }

  /** A message of the membership, which tells its sender itself. */
  public static MemberMessage of(Message message) {
    return of(message.from(), message.targetIncarnation(), new MembershipPayload(message));
  }
}
