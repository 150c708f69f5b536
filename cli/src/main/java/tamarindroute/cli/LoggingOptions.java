package tamarindroute.cli;

import picocli.CommandLine.Option;
import tamarindroute.log.Log;

/** The logging options of commands that start a service. */
final class LoggingOptions {

  @Option(
      names = "--log",
      paramLabel = "FORM",
      defaultValue = "plain",
      description = "how log lines are written: ${COMPLETION-CANDIDATES} (default: plain)")
  private Log.Format format;

  /** Applies the options, before the first log line. */
  void apply() {
    Log.useFormat(format);
  }
}
