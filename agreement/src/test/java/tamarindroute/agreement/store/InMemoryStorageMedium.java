package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/** Storage medium in memory, which loses bytes that were not forced in a simulated crash. */
public final class InMemoryStorageMedium implements StorageMedium {

  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private int forcedBytes;
  private boolean full;

  /**
   * Returns the medium after a crash: the forced bytes, and some of the bytes appended since.
   *
   * @param unforcedBytes largest number of bytes that remain in addition to the forced bytes
   */
  public InMemoryStorageMedium crashed(int unforcedBytes) {
    int size = Math.min(content.size(), forcedBytes + unforcedBytes);
    InMemoryStorageMedium survivor = new InMemoryStorageMedium();
    survivor.replace(Arrays.copyOf(content.toByteArray(), size));
    return survivor;
  }

  /** Sets whether the disk is full, in which case {@link #force} fails. */
  public void setFull(boolean isFull) {
    full = isFull;
  }

  /** Returns whether the disk is full. */
  public boolean isFull() {
    return full;
  }

  @Override
  public byte[] read() {
    return content.toByteArray();
  }

  @Override
  public void append(byte[] bytes) {
    content.writeBytes(bytes);
  }

  @Override
  public void force() throws IOException {
    if (full) {
      throw new IOException("disk full");
    }
    forcedBytes = content.size();
  }

  @Override
  public void truncate(long length) {
    replace(Arrays.copyOf(content.toByteArray(), (int) length));
  }

  @Override
  public void replace(byte[] bytes) {
    content.reset();
    content.writeBytes(bytes);
    forcedBytes = bytes.length;
  }

  @Override
  public void close() {
    // Nothing is held open.
  }
}
