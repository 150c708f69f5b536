package tamarindroute.wirehost;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** One batch of event records with its tail, as read from the wire. */
final class EventFrame {

  static final int HEADER_BYTES = 16;
  static final int RECORD_BYTES = 56;

  final long clockNanos;
  final int recordCount;
  private final ByteBuffer body;

  private EventFrame(long clockNanos, int recordCount, ByteBuffer body) {
    this.clockNanos = clockNanos;
    this.recordCount = recordCount;
    this.body = body;
  }

  /** The next frame, or null at the end of the input. */
  static EventFrame read(InputStream in) throws IOException {
    byte[] head = in.readNBytes(HEADER_BYTES);
    if (head.length == 0) {
      return null;
    }
    if (head.length < HEADER_BYTES) {
      throw new MalformedFrameException("the input ends inside a header");
    }
    ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
    long clockNanos = header.getLong(0);
    long length = Integer.toUnsignedLong(header.getInt(8));
    long recordCount = Integer.toUnsignedLong(header.getInt(12));
    if (recordCount * RECORD_BYTES > length) {
      throw new MalformedFrameException(
          recordCount + " records do not fit in " + length + " bytes");
    }
    if (length > Integer.MAX_VALUE - 8) {
      throw new MalformedFrameException("a frame of " + length + " bytes is too long");
    }
    byte[] bytes = in.readNBytes((int) length);
    if (bytes.length < length) {
      throw new MalformedFrameException(
          "the input ends after " + bytes.length + " of " + length + " bytes of a frame");
    }
    return new EventFrame(
        clockNanos, (int) recordCount, ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN));
  }

  /** The record at this place, its code at byte 0. */
  ByteBuffer record(int index) {
    return body.slice(index * RECORD_BYTES, RECORD_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** The part of the tail that a record's field at this byte names, its length counted in units. */
  ByteBuffer tail(ByteBuffer record, int field, int unit) throws MalformedFrameException {
    long offset = Integer.toUnsignedLong(record.getInt(field));
    long length = Integer.toUnsignedLong(record.getInt(field + 4)) * unit;
    int start = recordCount * RECORD_BYTES;
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
