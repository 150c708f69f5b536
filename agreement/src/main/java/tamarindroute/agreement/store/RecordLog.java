package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An append-only log of checksummed records on a storage medium.
 *
 * <p>A crash may leave the last record torn: cut short, or with zeros from one of its bytes to the
 * end of the file. A torn record was never forced, so no message was sent that relies on it, and
 * {@link #open} discards it. Any other damage is reported as a {@link CorruptedLogException}, as a
 * voter that continued with the remaining records might have forgotten a vote.
 */
public final class RecordLog implements Closeable {

  /** Largest record body in bytes. Holds the largest command and the fields around it. */
  public static final int MAX_BODY_BYTES = 1024 * 1024;

  private final StorageMedium medium;
  private long sizeBytes;
  private boolean hasFailed;

  /** Creates a log on a medium. {@link #open} must be called before any other method. */
  public RecordLog(StorageMedium medium) {
    this.medium = medium;
  }

  /**
   * Returns the bodies of all complete records in order, and discards a torn last record. To be
   * called once, before any other method.
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

  /**
   * Appends a record, which is durable once {@link #force} has returned.
   *
   * @param body 1 to {@link #MAX_BODY_BYTES} bytes
   * @throws IOException if the body's size is out of range, or this or an earlier write fails
   */
  public void append(byte[] body) throws IOException {
    byte[] frame = RecordFrame.of(body);
    write(() -> medium.append(frame));
    sizeBytes += frame.length;
  }

  /** Makes all appended records durable. Fails if this or an earlier write fails. */
  public void force() throws IOException {
    write(medium::force);
  }

  /** Durably and atomically replaces all records. Fails if this or an earlier write fails. */
  public void replace(List<byte[]> bodies) throws IOException {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    for (byte[] body : bodies) {
      content.writeBytes(RecordFrame.of(body));
    }
    write(() -> medium.replace(content.toByteArray()));
    sizeBytes = content.size();
  }

  /**
   * Returns whether a write has failed. After a failed write the medium's content is unknown, and
   * every further write throws an {@link IOException}.
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
      throw new IOException("record log does not accept writes after a failed write");
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
