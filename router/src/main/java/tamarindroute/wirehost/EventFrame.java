package tamarindroute.wirehost;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * One frame of the simulator's wire: event records of the same clock time, and a tail for their
 * data of variable length. All numbers are little-endian.
 */
final class EventFrame {

  private static final int HEADER_BYTES = 16;
  private static final int HEADER_CLOCK = 0;
  private static final int HEADER_LENGTH = 8;
  private static final int HEADER_RECORD_COUNT = 12;
  private static final int RECORD_BYTES = 56;

  /** The longest array that Java allocates. */
  private static final int MAX_LENGTH = Integer.MAX_VALUE - 8;

  final long clockNanos;
  final int recordCount;
  private final ByteBuffer body;

  private EventFrame(long clockNanos, int recordCount, ByteBuffer body) {
    this.clockNanos = clockNanos;
    this.recordCount = recordCount;
    this.body = body;
  }

  /**
   * Reads the next frame.
   *
   * @return null at the end of the input
   * @throws MalformedFrameException if the input ends within a frame, or its lengths do not fit
   *     together
   */
  static EventFrame read(InputStream in) throws IOException {
    byte[] head = in.readNBytes(HEADER_BYTES);
    if (head.length == 0) {
      return null;
    }
    if (head.length < HEADER_BYTES) {
      throw new MalformedFrameException("the input ends inside a header");
    }
    ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
    long clockNanos = header.getLong(HEADER_CLOCK);
    long length = Integer.toUnsignedLong(header.getInt(HEADER_LENGTH));
    long recordCount = Integer.toUnsignedLong(header.getInt(HEADER_RECORD_COUNT));
    if (recordCount * RECORD_BYTES > length) {
      throw new MalformedFrameException(
          recordCount + " records do not fit in " + length + " bytes");
    }
    if (length > MAX_LENGTH) {
      throw new MalformedFrameException(
          "a frame of " + length + " bytes is longer than " + MAX_LENGTH);
    }
    byte[] bytes = in.readNBytes((int) length);
    if (bytes.length < length) {
      throw new MalformedFrameException(
          "the input ends after " + bytes.length + " of " + length + " bytes of a frame");
    }
    return new EventFrame(
        clockNanos, (int) recordCount, ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN));
  }

  /** The record of this index. */
  ByteBuffer record(int index) {
    return body.slice(index * RECORD_BYTES, RECORD_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  }

  /**
   * The part of the tail that a field of a record refers to.
   *
   * @param record that refers to the tail
   * @param field offset of the field, which holds the part's offset and its length in units
   * @param unit length of a unit in bytes
   */
  ByteBuffer tail(ByteBuffer record, int field, int unit) throws MalformedFrameException {
    long offset = Integer.toUnsignedLong(record.getInt(field));
    long length = Integer.toUnsignedLong(record.getInt(field + Integer.BYTES)) * unit;
    int start = recordCount * RECORD_BYTES;
    if (offset + length > body.capacity() - start) {
      throw new MalformedFrameException(
          "bytes " + offset + " to " + (offset + length) + " are outside the tail");
    }
    return body.slice(start + (int) offset, (int) length).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Decodes UTF-8. */
  static String text(ByteBuffer bytes) {
    return StandardCharsets.UTF_8.decode(bytes).toString();
  }
}
