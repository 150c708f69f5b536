package tamarindroute.members;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import tamarindroute.log.Log;

/**
 * File that remembers this member's last incarnation, as one decimal number. The clock only gives a
 * good first proposal: members that remember a later incarnation say so, and it is raised then.
 */
final class IncarnationFile {

  /** A number and a line end. */
  private static final int MAX_FILE_BYTES = 32;

  private static final String NUMBER_PATTERN = "\\d{1,18}";

  private final Path file;

  /**
   * Uses the given file.
   *
   * @param file null to remember nothing over a restart
   */
  IncarnationFile(Path file) {
    this.file = file;
  }

  /** Proposes an incarnation after the remembered one and not before the wall clock's time. */
  long propose(long wallMillis) {
    long proposal = Math.max(1, wallMillis);
    if (file == null || !Files.exists(file)) {
      return proposal;
    }
    try {
      String text = Files.size(file) > MAX_FILE_BYTES ? "" : Files.readString(file).strip();
      if (text.matches(NUMBER_PATTERN)) {
        return Math.max(proposal, Long.parseLong(text) + 1);
      }
      Log.info("members", file + " does not hold an incarnation, the clock's time is proposed");
    } catch (IOException e) {
      Log.info("members", file + " can't be read, the clock's time is proposed: " + e);
    }
    return proposal;
  }

  /** Replaces the file atomically. A failure is only logged. */
  void store(long incarnation) {
    if (file == null) {
      return;
    }
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.writeString(temporary, incarnation + "\n");
      Files.move(
          temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      Log.info("members", "the incarnation can't be stored in " + file + ": " + e);
    }
  }
}
