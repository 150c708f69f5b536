package tamarindroute.agreement.store;

import java.io.Closeable;
import java.io.IOException;

/** Where bytes are kept; a file, or a test's that loses what was not forced. */
public interface StorageMedium extends Closeable {

  /** All that is there; empty where nothing is. */
  byte[] read() throws IOException;

  void append(byte[] bytes) throws IOException;

  /** What was appended before stays, also through a loss of power. */
  void force() throws IOException;

  /** Cuts off all from this length on, and forces it. */
  void truncate(long length) throws IOException;

  /** These bytes in place of all, forced; after a crash one or the other is there, whole. */
  void replace(byte[] bytes) throws IOException;
}
