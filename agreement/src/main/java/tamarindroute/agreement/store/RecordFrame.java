package tamarindroute.agreement.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Encodes and decodes the frame of one record: length of the body in bytes, checksum of the length,
 * checksum of the body, each as a big-endian 32-bit integer, then the body and an end mark of one
 * byte. The checksums are CRC-32 with some bits inverted.
 */
final class RecordFrame {

  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int HEADER_BYTES = 3 * Integer.BYTES;

  /**
   * Last byte of each record. The byte is not zero and does not become zero by one flipped bit, so
   * a zero in its place shows that the end mark was never written.
   */
  private static final byte END_MARK = 0x5a;

  /** Inverted bits of each checksum. Without them a run of zeros would match its own checksum. */
  private static final int CHECKSUM_MASK = 0x7a3d19c5;

  private RecordFrame() {}

  /**
   * Returns the frame of a body.
   *
   * @throws IOException if the body does not have 1 to {@link RecordLog#MAX_BODY_BYTES} bytes
   */
  static byte[] of(byte[] body) throws IOException {
    if (!isValidLength(body.length)) {
      throw new IOException(
          "record body of "
              + body.length
              + " bytes, 1 to "
              + RecordLog.MAX_BODY_BYTES
              + " allowed");
    }
    ByteBuffer frame = ByteBuffer.allocate(sizeBytes(body));
    frame.putInt(body.length);
    frame.putInt(checksum(frame.array(), 0, LENGTH_BYTES));
    frame.putInt(checksum(body, 0, body.length));
    frame.put(body);
    frame.put(END_MARK);
    return frame.array();
  }

  static int sizeBytes(byte[] body) {
    return HEADER_BYTES + body.length + 1;
  }

  /**
   * Returns the body of the record at the offset; null if the record is the last one and is torn.
   *
   * @throws CorruptedLogException if the record is neither complete nor torn
   */
  static byte[] read(byte[] content, int offset) throws CorruptedLogException {
    if (content.length - offset < HEADER_BYTES) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(content, offset, content.length - offset);
    int length = buffer.getInt();
    int lengthChecksum = buffer.getInt();
    int bodyChecksum = buffer.getInt();
    if (lengthChecksum != checksum(content, offset, LENGTH_BYTES) || !isValidLength(length)) {
      return requireTorn(content, offset);
    }
    if (buffer.remaining() <= length) {
      return null;
    }
    int bodyOffset = offset + HEADER_BYTES;
    if (content[bodyOffset + length] != END_MARK
        || bodyChecksum != checksum(content, bodyOffset, length)) {
      return requireTorn(content, offset);
    }
    byte[] body = new byte[length];
    buffer.get(body);
    return body;
  }

  private static boolean isValidLength(int length) {
    return length > 0 && length <= RecordLog.MAX_BODY_BYTES;
  }

  /**
   * Returns null if the record at the offset is torn, that is, if zeros reach from a byte of the
   * record to the end of the content.
   *
   * @throws CorruptedLogException if the record is not torn
   */
  private static byte[] requireTorn(byte[] content, int offset) throws CorruptedLogException {
    int end = content.length;
    while (end > offset && content[end - 1] == 0) {
      end--;
    }
    boolean endsInZeros = end < content.length;
    if (endsInZeros && (end - offset < HEADER_BYTES || isWithinRecord(content, offset, end))) {
      return null;
    }
    throw new CorruptedLogException(offset);
  }

  private static boolean isWithinRecord(byte[] content, int offset, int end) {
    ByteBuffer header = ByteBuffer.wrap(content, offset, HEADER_BYTES);
    int length = header.getInt();
    boolean isLengthIntact =
        header.getInt() == checksum(content, offset, LENGTH_BYTES) && isValidLength(length);
    return isLengthIntact && end <= offset + HEADER_BYTES + length;
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32 crc = new CRC32();
    crc.update(bytes, offset, length);
    return (int) crc.getValue() ^ CHECKSUM_MASK;
  }
}
