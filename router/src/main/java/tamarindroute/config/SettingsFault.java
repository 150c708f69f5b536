package tamarindroute.config;

/** What is wrong in a file, and where; line and column from 1, 0 where the whole file is meant. */
public record SettingsFault(String file, int line, int column, String description) {

  @Override
  public String toString() {
    return line == 0
        ? file + ": " + description
        : file + ":" + line + ":" + column + ": " + description;
  }
}
