package tamarindroute.vrrp;

import java.nio.ByteBuffer;
import java.time.Duration;
import tamarindroute.protocol.MalformedMessageException;

/**
 * What candidates and voters say to each other, both ways; always sealed. The mark is the
 * candidate's own and comes back as it went: the time of its asking, which no other reads.
 */
public record Ballot(Kind kind, int virtualId, Duration span, long mark) {

  public enum Kind {
    ASKED,
    GRANTED,
    DENIED,
    RETURNED
  }

  /** No advertisement begins so. */
  private static final byte FIRST = 0x47;

  private static final int LENGTH = 1 + 1 + 1 + 4 + 8;

  /**
   * Three times the longest interval of an advertisement; a longer span would keep a shared address
   * from all.
   */
  private static final int LONGEST = 130_000;

  /** Whether these bytes are of this kind, not an advertisement. */
  public static boolean is(byte[] message) {
    return message.length > 0 && message[0] == FIRST;
  }

  public byte[] write() {
    return ByteBuffer.allocate(LENGTH)
        .put(FIRST)
        .put((byte) kind.ordinal())
        .put((byte) virtualId)
        .putInt((int) span.toMillis())
        .putLong(mark)
        .array();
  }

  public static Ballot read(byte[] bytes) throws MalformedMessageException {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (bytes.length != LENGTH || in.get() != FIRST) {
      throw new MalformedMessageException("no ballot");
    }
    int kind = in.get();
    int virtualId = in.get() & 0xFF;
    int span = in.getInt();
    if (kind < 0 || kind >= Kind.values().length || virtualId == 0 || span <= 0 || span > LONGEST) {
      throw new MalformedMessageException("a ballot with figures out of range");
    }
    return new Ballot(Kind.values()[kind], virtualId, Duration.ofMillis(span), in.getLong());
  }
}
