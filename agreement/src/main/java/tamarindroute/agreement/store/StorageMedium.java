package tamarindroute.agreement.store;

import java.io.Closeable;
import java.io.IOException;

/** Bytes on durable storage: a file, or memory in tests. */
public interface StorageMedium extends Closeable {

  /** Returns the whole content; empty for a new medium. */
  byte[] read() throws IOException;

  /** Appends bytes, which may be lost in a crash until {@link #force} has returned. */
  void append(byte[] bytes) throws IOException;

  /** Makes all bytes appended so far durable, also against a loss of power. */
  void force() throws IOException;

  /** Durably discards all content beyond a length in bytes. */
  void truncate(long length) throws IOException;

  /**
   * Durably replaces the whole content. After a crash during this method the medium has either the
   * old or the new content.
   */
  void replace(byte[] bytes) throws IOException;
}
