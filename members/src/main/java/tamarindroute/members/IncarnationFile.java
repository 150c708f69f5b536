package tamarindroute.members;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import tamarindroute.log.Log;

/**
 * Owns the birth that a start proposes, and the file that remembers the last. The wall clock only
 * makes a good first guess: whoever remembers a later life here says so, and a greater birth is
 * taken then.
 */
final class IncarnationFile {

  /** A number and its line's end. */
  private static final int MAX_FILE_BYTES = 32;

  private final Path file;

  /** Without a file, null, nothing is remembered over a start. */
  IncarnationFile(Path file) {
    this.file = file;
  }

  /** Past the last one that the file tells, whatever the clock says. */
  long propose(long wallMillis) {
    long proposal = Math.max(1, wallMillis);
    if (file == null || !Files.exists(file)) {
      return proposal;
    }
    try {
      String text = Files.size(file) > MAX_FILE_BYTES ? "" : Files.readString(file).strip();
      if (text.matches("\\d{1,18}")) {
        return Math.max(proposal, Long.parseLong(text) + 1);
      }
      Log.info("members", file + " tells no birth: the clock's is proposed");
    } catch (IOException e) {
      Log.info("members", file + " can't be read, the clock's birth is proposed: " + e);
    }
    return proposal;
  }

  /** Whole or not at all; a start without it is one without the file. */
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
      Log.info("members", "the birth can't be kept in " + file + ": " + e);
    }
  }
}
