package tamarindroute.config;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;

/** Settings that can't be used, with all that is wrong in them. */
public final class UnusableException extends IOException {

  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  public UnusableException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<Fault> faults() {
    return faults;
  }

  /** The first fault, and how many more there are, on one line. */
  public String inOneLine() {
    return faults.get(0) + (faults.size() > 1 ? " (and " + (faults.size() - 1) + " more)" : "");
  }
}
