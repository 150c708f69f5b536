package tamarindroute.agreement.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A file, held by one process at a time through a lock beside it. */
public final class FileMedium implements Medium {

  /** Longest file that is read: many times what is kept between two replacements. */
  private static final long BYTES_MOST = 256L * 1024 * 1024;

  private final Path path;
  private final FileChannel guard;
  private FileChannel file;

  public FileMedium(Path path) throws IOException {
    this.path = path;
    this.guard =
        FileChannel.open(beside(".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = lock();
    if (lock == null) {
      guard.close();
      throw new IOException(path + " is in use by another process");
    }
    Files.deleteIfExists(beside(".new"));
    this.file = open();
    forceDirectory();
  }

  private FileLock lock() throws IOException {
    try {
      return guard.tryLock();
    } catch (OverlappingFileLockException inThisProcess) {
      return null;
    }
  }

  private Path beside(String suffix) {
    return path.resolveSibling(path.getFileName() + suffix);
  }

  private FileChannel open() throws IOException {
    FileChannel opened =
        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    opened.position(opened.size());
    return opened;
  }

  @Override
  public byte[] read() throws IOException {
    if (Files.size(path) > BYTES_MOST) {
      throw new IOException(path + " is longer than " + BYTES_MOST + " bytes");
    }
    return Files.readAllBytes(path);
  }

  @Override
  public void append(byte[] bytes) throws IOException {
    write(file, bytes);
  }

  @Override
  public void force() throws IOException {
    file.force(false);
  }

  @Override
  public void truncate(long length) throws IOException {
    file.truncate(length);
    file.position(length);
    file.force(true);
  }

  @Override
  public void replace(byte[] bytes) throws IOException {
    Path next = beside(".new");
    try (FileChannel whole =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      write(whole, bytes);
      whole.force(true);
    }
    file.close();
    Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    forceDirectory();
    file = open();
  }

  private static void write(FileChannel to, byte[] bytes) throws IOException {
    ByteBuffer rest = ByteBuffer.wrap(bytes);
    while (rest.hasRemaining()) {
      to.write(rest);
    }
  }

  /** A new name in a directory stays only once the directory itself was forced. */
  private void forceDirectory() throws IOException {
    try (FileChannel directory =
        FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
    guard.close();
  }
}
