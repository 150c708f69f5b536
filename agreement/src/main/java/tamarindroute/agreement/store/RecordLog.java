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
  private static final int HEADER = 12;

  /**
   * Ends each record with a byte that is not zero, also after any one flipped bit: zeros there were
   * never written.
   */
  private static final byte END = 0x5a;

  /** Longest body: the longest command, and what stands around it. */
  public static final int BODY_MOST = 1024 * 1024;

  /** Damage that no crash explains. */
  public static final class Damaged extends IOException {
    private static final long serialVersionUID = 1L;

    Damaged(long at) {
      super("damaged at byte " + at + "; the store must not be used");
    }
  }

  private final Medium medium;
  private long size;
  private boolean failed;

  public RecordLog(Medium medium) {
    this.medium = medium;
  }

  /** All whole records, in order; what a crash tore off the end is cut off. Called once, first. */
  public List<byte[]> open() throws IOException {
    byte[] all = medium.read();
    List<byte[]> records = new ArrayList<>();
    int at = 0;
    while (at < all.length) {
      byte[] body = record(all, at);
      if (body == null) {
        medium.truncate(at);
        break;
      }
      records.add(body);
      at += HEADER + body.length + 1;
    }
    size = at;
    return records;
  }

  /** The record's body; null if it is the torn end. */
  private static byte[] record(byte[] all, int at) throws Damaged {
    if (all.length - at < HEADER) {
      return null;
    }
    ByteBuffer from = ByteBuffer.wrap(all, at, all.length - at);
    int length = from.getInt();
    int ofLength = from.getInt();
    int ofAll = from.getInt();
    if (ofLength != checksum(all, at, 4) || length <= 0 || length > BODY_MOST) {
      return tornOrDamaged(all, at);
    }
    if (from.remaining() <= length) {
      return null;
    }
    if (all[at + HEADER + length] != END || ofAll != checksum(all, at + HEADER, length)) {
      return tornOrDamaged(all, at);
    }
    byte[] body = new byte[length];
    from.get(body);
    return body;
  }

  /** Torn if zeros reach from within its first record's end to the file's end; else damaged. */
  private static byte[] tornOrDamaged(byte[] all, int at) throws Damaged {
    int end = all.length;
    while (end > at && all[end - 1] == 0) {
      end--;
    }
    boolean zerosOnly = end < all.length && (end - at < HEADER || endsWithin(all, at, end));
    if (!zerosOnly) {
      throw new Damaged(at);
    }
    return null;
  }

  private static boolean endsWithin(byte[] all, int at, int end) {
    ByteBuffer header = ByteBuffer.wrap(all, at, HEADER);
    int length = header.getInt();
    boolean known = header.getInt() == checksum(all, at, 4) && length > 0 && length <= BODY_MOST;
    return known && end <= at + HEADER + length;
  }

  private static int checksum(byte[] bytes, int at, int length) {
    CRC32 sum = new CRC32();
    sum.update(bytes, at, length);
    // A run of zeros must not be its own checksum.
    return (int) sum.getValue() ^ 0x7a3d19c5;
  }

  static byte[] framed(byte[] body) throws IOException {
    if (body.length == 0 || body.length > BODY_MOST) {
      throw new IOException("a record of " + body.length + " bytes");
    }
    ByteBuffer record = ByteBuffer.allocate(HEADER + body.length + 1).putInt(body.length);
    record
        .putInt(checksum(record.array(), 0, 4))
        .putInt(checksum(body, 0, body.length))
        .put(body)
        .put(END);
    return record.array();
  }

  /** Written, not yet kept. */
  public void append(byte[] body) throws IOException {
    byte[] record = framed(body);
    write(() -> medium.append(record));
    size += record.length;
  }

  /** All that was appended is kept from here on. */
  public void force() throws IOException {
    write(medium::force);
  }

  /**
   * Whether anything could not be written: what is on the disk is no longer known, and no word may
   * be given.
   */
  public boolean failed() {
    return failed;
  }

  @FunctionalInterface
  private interface Write {
    void run() throws IOException;
  }

  private void write(Write what) throws IOException {
    if (failed) {
      throw new IOException("could not be written before");
    }
    failed = true;
    what.run();
    failed = false;
  }

  public long size() {
    return size;
  }

  /** These records in place of all others. */
  public void replace(List<byte[]> bodies) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] body : bodies) {
      all.writeBytes(framed(body));
    }
    write(() -> medium.replace(all.toByteArray()));
    size = all.size();
  }

  @Override
  public void close() throws IOException {
    medium.close();
  }
}
