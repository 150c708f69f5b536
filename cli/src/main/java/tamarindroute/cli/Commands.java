package tamarindroute.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tamarindroute.config.UnusableException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.start.ExitCode;

/** The top-level command and the entry point of the command line. */
@Command(
    name = "tamarindroute",
    mixinStandardHelpOptions = true,
    versionProvider = JarVersion.class,
    description = "Decides where objects are served, stored and filled from.",
    subcommands = {
      ServeCommand.class,
      WireHostCommand.class,
      NameServerCommand.class,
      QueryCommand.class,
      ConfigCommand.class,
      CommandLine.HelpCommand.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:success",
      "1:a peer, a file or the machine failed; the message says how",
      "2:the command line is invalid",
      "3:a configuration file or a frame is invalid"
    })
public final class Commands implements Runnable {

  /** Returned by a command whose threads keep the process running. */
  static final int KEEPS_RUNNING = -1;

  static final String SUBCOMMAND_MISSING = "a subcommand is missing";

  @Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), SUBCOMMAND_MISSING);
  }

  /**
   * Runs a command and ends the process with its exit code, since libraries may leave threads
   * behind; unless the command keeps running.
   */
  public static void main(String[] arguments) {
    int exitCode = commandLine().execute(arguments);
    if (exitCode != KEEPS_RUNNING) {
      System.exit(exitCode);
    }
  }

  private static CommandLine commandLine() {
    return new CommandLine(new Commands())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(
            (failure, command, parsed) -> {
              System.err.println(command.getCommandName() + ": " + failure.getMessage());
              return exitCode(failure);
            });
  }

  private static int exitCode(Exception failure) {
    boolean malformed =
        failure instanceof MalformedSettingsException || failure instanceof UnusableException;
    return malformed ? ExitCode.MALFORMED : ExitCode.FAILED;
  }
}
