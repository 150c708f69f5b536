package tamarindroute.cli;

import picocli.CommandLine.Option;
import tamarindroute.log.Log;

/** Logging options of the commands that keep running. */
final class LoggingOptions {

  @Option(
      names = "--log",
      paramLabel = "FORM",
      defaultValue = "plain",
      description = "format of log lines: ${COMPLETION-CANDIDATES} (default: plain)")
  private Log.Format format;

  void apply() {
    Log.useFormat(format);
  }
}
