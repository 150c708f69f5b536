package tamarindroute.config;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;

/** Settings that can't be used, with all that is wrong in them. */
public final class InvalidSettingsException extends IOException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  public InvalidSettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<SettingsFault> faults() {
    return faults;
  }

  /** The first fault, and how many more there are, on one line. */
  public String summary() {
    return faults.get(0) + (faults.size() > 1 ? " (and " + (faults.size() - 1) + " more)" : "");
  }
}
