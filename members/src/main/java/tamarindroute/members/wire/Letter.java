package tamarindroute.members.wire;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import tamarindroute.membership.Member;
import tamarindroute.membership.Message;

/**
 * What one datagram says, read whole.
 *
 * @param lowest the lowest form level that its sender reads
 * @param highest the highest
 * @param toBirth the life it is meant for; 0 where the sender does not know it
 */
public record Letter(int lowest, int highest, Member sender, long toBirth, Body body) {

  /** What it carries; one kind a letter. */
  public sealed interface Body permits Said, Facts, Agreement, News, Lease {}

  /** Who is there; its sender and the life it is meant for are the letter's. */
  public record Said(Message message) implements Body {}

  /** What members share, in the form of whoever holds facts. */
  public record Facts(byte[] bytes) implements Body {
    @Override
    public boolean equals(Object other) {
      return other instanceof Facts facts && Arrays.equals(bytes, facts.bytes);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(bytes);
    }
  }

  /** A message of whoever keeps the agreed view. */
  public record Agreement(byte[] bytes) implements Body {
    @Override
    public boolean equals(Object other) {
      return other instanceof Agreement agreement && Arrays.equals(bytes, agreement.bytes);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(bytes);
    }
  }

  /**
   * What the control feed told.
   *
   * @param last the number of the last event that the sender knows
   * @param events in the order of their numbers; the receiver may lack them
   */
  public record News(long last, List<Event> events) implements Body {
    public News {
      events = List.copyOf(events);
    }
  }

  /** One event of the feed, as its JSON; before is the CRC-32 of the one that came before it. */
  public record Event(long number, long before, String text) {}

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
   * @param group which bound is shared
   * @param birth the holder's
   * @param number of the holder's asking that it is about
   * @param part granted, in millionths, for so long
   */
  public record Lease(
      int group, LeaseKind kind, long birth, long number, long part, Duration length)
      implements Body {}

  /** Of this program's own form levels. */
  public static Letter of(Member sender, long toBirth, Body body) {
    return new Letter(Envelopes.LOWEST, Envelopes.HIGHEST, sender, toBirth, body);
  }

  /** A message of the membership, which tells its sender itself. */
  public static Letter of(Message message) {
    return of(message.from(), message.toBirth(), new Said(message));
  }
}
