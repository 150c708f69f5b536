package tamarindroute.config;

import java.nio.file.Path;

/**
 * An error in a settings file.
 *
 * @param line line from 1; 0 if the fault concerns the whole file
 * @param column column from 1; 0 if the fault concerns the whole file
 */
public record SettingsFault(String file, int line, int column, String description) {

  /** Creates a fault that concerns the whole file. */
  static SettingsFault ofFile(Path file, String description) {
    return new SettingsFault(file.toString(), 0, 0, description);
  }

  /** Returns {@code file:line:column: description}, or {@code file: description} without a line. */
  @Override
  public String toString() {
    String position = line == 0 ? "" : ":" + line + ":" + column;
    return file + position + ": " + description;
  }
}
