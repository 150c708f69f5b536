package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/** A disk in memory that loses, at a crash, what was not forced. */
public class InMemoryStorageMedium implements StorageMedium {

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private int forcedBytes;

  /** Set: nothing more can be written. */
  public boolean full;

  /** After a crash: what was forced, and at most so many bytes more. */
  public InMemoryStorageMedium crashed(int more) {
    InMemoryStorageMedium after = new InMemoryStorageMedium();
    after.replace(
        Arrays.copyOf(written.toByteArray(), Math.min(written.size(), forcedBytes + more)));
    return after;
  }

  @Override
  public byte[] read() {
    return written.toByteArray();
  }

  @Override
  public void append(byte[] bytes) {
    written.writeBytes(bytes);
  }

  @Override
  public void force() throws IOException {
    if (full) {
      throw new IOException("disk full");
    }
    forcedBytes = written.size();
  }

  @Override
  public void truncate(long length) {
    replace(Arrays.copyOf(written.toByteArray(), (int) length));
  }

  @Override
  public void replace(byte[] bytes) {
    written.reset();
    written.writeBytes(bytes);
    forcedBytes = bytes.length;
  }

  @Override
  public void close() {
    // Nothing is held open.
  }
}
