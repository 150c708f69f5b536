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

/**
 * A file as storage medium. A lock file in the same directory keeps other processes from opening
 * it.
 */
public final class FileStorageMedium implements StorageMedium {

  /** Largest file that is read, in bytes. Far above what is written between two compactions. */
  private static final long MAX_FILE_BYTES = 256L * 1024 * 1024;

  private static final String LOCK_SUFFIX = ".lock";
  private static final String REPLACEMENT_SUFFIX = ".new";

  private final Path path;
  private final FileChannel lockChannel;
  private FileChannel file;

  /**
   * Opens the file, and creates it if it is absent. Deletes a replacement file that was left by a
   * crash during {@link #replace}.
   *
   * @throws IOException if the file cannot be opened, or is open in this or another process
   */
  public FileStorageMedium(Path path) throws IOException {
    this.path = path;
    this.lockChannel =
        FileChannel.open(sibling(LOCK_SUFFIX), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = tryLock();
    if (lock == null) {
      lockChannel.close();
      throw new IOException(
          path + " is in use: its lock file is locked by another process or medium");
    }
    Files.deleteIfExists(sibling(REPLACEMENT_SUFFIX));
    this.file = open();
    forceDirectory();
  }

  /** Returns the lock, or null if another process or this one holds it. */
  private FileLock tryLock() throws IOException {
    try {
      return lockChannel.tryLock();
    } catch (OverlappingFileLockException heldByThisProcess) {
      return null;
    }
  }

  private Path sibling(String suffix) {
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
    if (Files.size(path) > MAX_FILE_BYTES) {
      throw new IOException(
          path + " has " + Files.size(path) + " bytes, at most " + MAX_FILE_BYTES + " allowed");
    }
    return Files.readAllBytes(path);
  }

  @Override
  public void append(byte[] bytes) throws IOException {
    writeFully(file, bytes);
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
    Path replacementPath = sibling(REPLACEMENT_SUFFIX);
    try (FileChannel replacement =
        FileChannel.open(
            replacementPath,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      writeFully(replacement, bytes);
      replacement.force(true);
    }
    file.close();
    Files.move(
        replacementPath, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    forceDirectory();
    file = open();
  }

  private static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
    ByteBuffer remaining = ByteBuffer.wrap(bytes);
    while (remaining.hasRemaining()) {
      channel.write(remaining);
    }
  }

  /** Makes the file's name durable, which needs a force of the directory. */
  private void forceDirectory() throws IOException {
    Path parent = path.toAbsolutePath().getParent();
    try (FileChannel directory = FileChannel.open(parent, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    file.close();
    lockChannel.close();
  }
}
