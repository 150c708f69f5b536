package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/** A disk in memory that loses, at a crash, what was not forced. */
public class Memory implements Medium {

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private int forced;

  /** Set: nothing more can be written. */
  public boolean full;

  /** After a crash: what was forced, and at most so many bytes more. */
  public Memory crashed(int more) {
    Memory after = new Memory();
    after.replace(Arrays.copyOf(written.toByteArray(), Math.min(written.size(), forced + more)));
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
    forced = written.size();
  }

  @Override
  public void truncate(long length) {
    replace(Arrays.copyOf(written.toByteArray(), (int) length));
  }

  @Override
  public void replace(byte[] bytes) {
    written.reset();
    written.writeBytes(bytes);
    forced = bytes.length;
  }

  @Override
  public void close() {
    // Nothing is held open.
  }
}
