package tamarindroute.wirehost;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** One batch of event records with its tail, as read from the wire. */
final class Frame {

  static final int HEADER = 16;
  static final int RECORD = 56;

  final long clock;
  final int count;
  private final ByteBuffer body;

  private Frame(long clock, int count, ByteBuffer body) {
    this.clock = clock;
    this.count = count;
    this.body = body;
  }

  /** The next frame, or null at the end of the input. */
  static Frame read(InputStream in) throws IOException {
    byte[] head = in.readNBytes(HEADER);
    if (head.length == 0) {
      return null;
    }
    if (head.length < HEADER) {
      throw new MalformedFrameException("the input ends inside a header");
    }
    ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
    long clock = header.getLong(0);
    long length = Integer.toUnsignedLong(header.getInt(8));
    long count = Integer.toUnsignedLong(header.getInt(12));
    if (count * RECORD > length) {
      throw new MalformedFrameException(count + " records do not fit in " + length + " bytes");
    }
    if (length > Integer.MAX_VALUE - 8) {
      throw new MalformedFrameException("a frame of " + length + " bytes is too long");
    }
    byte[] bytes = in.readNBytes((int) length);
    if (bytes.length < length) {
      throw new MalformedFrameException(
          "the input ends after " + bytes.length + " of " + length + " bytes of a frame");
    }
    return new Frame(clock, (int) count, ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN));
  }

  /** The record at this place, its code at byte 0. */
  ByteBuffer record(int place) {
    return body.slice(place * RECORD, RECORD).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** The part of the tail that a record's field at this byte names, its length counted in units. */
  ByteBuffer tail(ByteBuffer record, int field, int unit) throws MalformedFrameException {
    long offset = Integer.toUnsignedLong(record.getInt(field));
    long length = Integer.toUnsignedLong(record.getInt(field + 4)) * unit;
    int start = count * RECORD;
    if (offset + length > body.capacity() - start) {
      throw new MalformedFrameException(
          "bytes " + offset + " to " + (offset + length) + " are outside the tail");
    }
    return body.slice(start + (int) offset, (int) length).order(ByteOrder.LITTLE_ENDIAN);
  }

  static String text(ByteBuffer bytes) {
    return StandardCharsets.UTF_8.decode(bytes).toString();
  }
}
