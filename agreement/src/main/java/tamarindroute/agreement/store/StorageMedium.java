package tamarindroute.agreement.store;

import java.io.Closeable;
import java.io.IOException;

/** Bytes on durable storage: a file, or memory in tests. */
public interface StorageMedium extends Closeable {

  /** Returns the whole content; empty for a new medium. */
  byte[] read() throws IOException;

  /** Appends bytes. They may be lost in a crash until {@link #force} returns. */
  void append(byte[] bytes) throws IOException;

  /** Makes everything appended so far durable, also against a loss of power. */
  void force() throws IOException;

  /** Durably discards everything beyond this length in bytes. */
  void truncate(long length) throws IOException;

  /**
   * Durably replaces the whole content. After a crash either the old or the new content is there.
   */
  void replace(byte[] bytes) throws IOException;
}
