package tamarindroute.config;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings cannot be used. Its message lists all faults, one a line. */
public final class InvalidSettingsException extends IOException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /** Creates an exception for one or more faults. */
  public InvalidSettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns the faults in the order in which they were found. */
  public List<SettingsFault> faults() {
    return faults;
  }

  /** Returns the first fault and the number of further ones, on one line. */
  public String summary() {
    String more = faults.size() > 1 ? " (and " + (faults.size() - 1) + " more)" : "";
    return faults.get(0) + more;
  }
}
