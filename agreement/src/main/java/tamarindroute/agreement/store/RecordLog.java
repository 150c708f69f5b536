package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Owns the form of the file: records of length, checksum of the length, checksum of the body, body,
 * end mark. The last record may be torn by a crash: cut short, or with nothing but zeros from some
 * place on to the end. Nothing of it was forced, so nobody has relied on it, and it is cut off. Any
 * other damage refuses to start: whoever goes on from there might have forgotten a word it gave.
 */
public final class RecordLog implements Closeable {

  /** Length, its checksum, the body's checksum. */
  private static final int HEADER_BYTES = 12;

  /**
   * Ends each record with a byte that is not zero, also after any one flipped bit: zeros there were
   * never written.
   */
  private static final byte END_MARK = 0x5a;

  /** Longest body: the longest command, and what stands around it. */
  public static final int MAX_BODY_BYTES = 1024 * 1024;

  /** Damage that no crash explains. */
  public static final class CorruptedLogException extends IOException {
    private static final long serialVersionUID = 1L;

    CorruptedLogException(long offset) {
      super("damaged at byte " + offset + "; the store must not be used");
    }
  }

  private final StorageMedium medium;
  private long sizeBytes;
  private boolean hasFailed;

  public RecordLog(StorageMedium medium) {
    this.medium = medium;
  }

  /** All whole records, in order; what a crash tore off the end is cut off. Called once, first. */
  public List<byte[]> open() throws IOException {
    byte[] content = medium.read();
    List<byte[]> records = new ArrayList<>();
    int offset = 0;
    while (offset < content.length) {
      byte[] body = readRecord(content, offset);
      if (body == null) {
        medium.truncate(offset);
        break;
      }
      records.add(body);
      offset += HEADER_BYTES + body.length + 1;
    }
    sizeBytes = offset;
    return records;
  }

  /** The record's body; null if it is the torn end. */
  private static byte[] readRecord(byte[] content, int offset) throws CorruptedLogException {
    if (content.length - offset < HEADER_BYTES) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(content, offset, content.length - offset);
    int length = buffer.getInt();
    int lengthChecksum = buffer.getInt();
    int bodyChecksum = buffer.getInt();
    if (lengthChecksum != checksum(content, offset, 4) || length <= 0 || length > MAX_BODY_BYTES) {
      return tornOrDamaged(content, offset);
    }
    if (buffer.remaining() <= length) {
      return null;
    }
    if (content[offset + HEADER_BYTES + length] != END_MARK
        || bodyChecksum != checksum(content, offset + HEADER_BYTES, length)) {
      return tornOrDamaged(content, offset);
    }
    byte[] body = new byte[length];
    buffer.get(body);
    return body;
  }

  /** Torn if zeros reach from within its first record's end to the file's end; else damaged. */
  private static byte[] tornOrDamaged(byte[] content, int offset) throws CorruptedLogException {
    int end = content.length;
    while (end > offset && content[end - 1] == 0) {
      end--;
    }
    boolean zerosOnly =
        end < content.length
            && (end - offset < HEADER_BYTES || isWithinFirstRecord(content, offset, end));
    if (!zerosOnly) {
      throw new CorruptedLogException(offset);
    }
    return null;
  }

  private static boolean isWithinFirstRecord(byte[] content, int offset, int end) {
    ByteBuffer header = ByteBuffer.wrap(content, offset, HEADER_BYTES);
    int length = header.getInt();
    boolean known =
        header.getInt() == checksum(content, offset, 4) && length > 0 && length <= MAX_BODY_BYTES;
    return known && end <= offset + HEADER_BYTES + length;
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32 sum = new CRC32();
    sum.update(bytes, offset, length);
    // A run of zeros must not be its own checksum.
    return (int) sum.getValue() ^ 0x7a3d19c5;
  }

  static byte[] frame(byte[] body) throws IOException {
    if (body.length == 0 || body.length > MAX_BODY_BYTES) {
      throw new IOException("a record of " + body.length + " bytes");
    }
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + body.length + 1).putInt(body.length);
    record
        .putInt(checksum(record.array(), 0, 4))
        .putInt(checksum(body, 0, body.length))
        .put(body)
        .put(END_MARK);
    return record.array();
  }

  /** Written, not yet kept. */
  public void append(byte[] body) throws IOException {
    byte[] record = frame(body);
    write(() -> medium.append(record));
    sizeBytes += record.length;
  }

  /** All that was appended is kept from here on. */
  public void force() throws IOException {
    write(medium::force);
  }

  /**
   * Whether anything could not be written: what is on the disk is no longer known, and no word may
   * be given.
   */
  public boolean hasFailed() {
    return hasFailed;
  }

  @FunctionalInterface
  private interface WriteOperation {
    void run() throws IOException;
  }

  private void write(WriteOperation operation) throws IOException {
    if (hasFailed) {
      throw new IOException("could not be written before");
    }
    hasFailed = true;
    operation.run();
    hasFailed = false;
  }

  public long sizeBytes() {
    return sizeBytes;
  }

  /** These records in place of all others. */
  public void replace(List<byte[]> bodies) throws IOException {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    for (byte[] body : bodies) {
      content.writeBytes(frame(body));
    }
    write(() -> medium.replace(content.toByteArray()));
    sizeBytes = content.size();
  }

  @Override
  public void close() throws IOException {
    medium.close();
  }
}
