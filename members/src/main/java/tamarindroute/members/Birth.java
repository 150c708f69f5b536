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
final class Birth {

  /** A number and its line's end. */
  private static final int LARGEST = 32;

  private final Path file;

  /** Without a file, null, nothing is remembered over a start. */
  Birth(Path file) {
    this.file = file;
  }

  /** Past the last one that the file tells, whatever the clock says. */
  long propose(long wallMillis) {
    long guess = Math.max(1, wallMillis);
    if (file == null || !Files.exists(file)) {
      return guess;
    }
    try {
      String text = Files.size(file) > LARGEST ? "" : Files.readString(file).strip();
      if (text.matches("\\d{1,18}")) {
        return Math.max(guess, Long.parseLong(text) + 1);
      }
      Log.line("members", file + " tells no birth: the clock's is proposed");
    } catch (IOException e) {
      Log.line("members", file + " can't be read, the clock's birth is proposed: " + e);
    }
    return guess;
  }

  /** Whole or not at all; a start without it is one without the file. */
  void keep(long birth) {
    if (file == null) {
      return;
    }
    Path fresh = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.writeString(fresh, birth + "\n");
      Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      Log.line("members", "the birth can't be kept in " + file + ": " + e);
    }
  }
}
