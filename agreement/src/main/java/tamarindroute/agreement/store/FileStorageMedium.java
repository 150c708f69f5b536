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
public final class FileStorageMedium implements StorageMedium {

  /** Longest file that is read: many times what is kept between two replacements. */
  private static final long MAX_FILE_BYTES = 256L * 1024 * 1024;

  private final Path path;
  private final FileChannel lockChannel;
  private FileChannel file;

  public FileStorageMedium(Path path) throws IOException {
    this.path = path;
    this.lockChannel =
        FileChannel.open(sibling(".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = tryLock();
    if (lock == null) {
      lockChannel.close();
      throw new IOException(path + " is in use by another process");
    }
    Files.deleteIfExists(sibling(".new"));
    this.file = open();
    forceDirectory();
  }

  private FileLock tryLock() throws IOException {
    try {
      return lockChannel.tryLock();
    } catch (OverlappingFileLockException inThisProcess) {
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
      throw new IOException(path + " is longer than " + MAX_FILE_BYTES + " bytes");
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
    Path replacementPath = sibling(".new");
    try (FileChannel replacementChannel =
        FileChannel.open(
            replacementPath,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      write(replacementChannel, bytes);
      replacementChannel.force(true);
    }
    file.close();
    Files.move(
        replacementPath, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    forceDirectory();
    file = open();
  }

  private static void write(FileChannel to, byte[] bytes) throws IOException {
    ByteBuffer remaining = ByteBuffer.wrap(bytes);
    while (remaining.hasRemaining()) {
      to.write(remaining);
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
    lockChannel.close();
  }
}
