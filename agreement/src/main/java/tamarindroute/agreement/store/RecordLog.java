package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An append-only log of records on a storage medium.
 *
 * <p>A crash may leave the last record torn: cut short, or filled with zeros up to the end of the
 * file. Nothing of a torn record was forced, so nobody relies on it, and {@link #open} discards it.
 * Any other damage is reported as {@link CorruptedLogException}: a voter that continued from there
 * might have forgotten a vote.
 */
public final class RecordLog implements Closeable {

  /** Largest record body in bytes; holds the largest command with its envelope. */
  public static final int MAX_BODY_BYTES = 1024 * 1024;

  private final StorageMedium medium;
  private long sizeBytes;
  private boolean hasFailed;

  /** Creates a log on a medium; {@link #open} must be called first. */
  public RecordLog(StorageMedium medium) {
    this.medium = medium;
  }

  /**
   * Reads all complete records in order and discards a torn last one. To be called once, before any
   * other method.
   *
   * @throws CorruptedLogException if a record is damaged in a way that no crash explains
   */
  public List<byte[]> open() throws IOException {
    byte[] content = medium.read();
    List<byte[]> records = new ArrayList<>();
    int offset = 0;
    while (offset < content.length) {
      byte[] body = RecordFrame.read(content, offset);
      if (body == null) {
        medium.truncate(offset);
        break;
      }
      records.add(body);
      offset += RecordFrame.sizeBytes(body);
    }
    sizeBytes = offset;
    return records;
  }

  /** Appends a record. It is durable once {@link #force} has returned. */
  public void append(byte[] body) throws IOException {
    byte[] frame = RecordFrame.of(body);
    write(() -> medium.append(frame));
    sizeBytes += frame.length;
  }

  /** Makes all appended records durable. */
  public void force() throws IOException {
    write(medium::force);
  }

  /** Atomically replaces all records. */
  public void replace(List<byte[]> bodies) throws IOException {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    for (byte[] body : bodies) {
      content.writeBytes(RecordFrame.of(body));
    }
    write(() -> medium.replace(content.toByteArray()));
    sizeBytes = content.size();
  }

  /**
   * Returns whether a write has failed. From then on the medium's content is unknown, and every
   * further write is refused.
   */
  public boolean hasFailed() {
    return hasFailed;
  }

  /** Returns the log's size in bytes. */
  public long sizeBytes() {
    return sizeBytes;
  }

  @FunctionalInterface
  private interface WriteOperation {
    void run() throws IOException;
  }

  private void write(WriteOperation operation) throws IOException {
    if (hasFailed) {
      throw new IOException("record log is unusable after a failed write");
    }
    hasFailed = true;
    operation.run();
    hasFailed = false;
  }

  @Override
  public void close() throws IOException {
    medium.close();
  }
}
