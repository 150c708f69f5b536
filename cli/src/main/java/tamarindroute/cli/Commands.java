package tamarindroute.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tamarindroute.config.UnusableException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.start.ExitCode;

/** The root command with its subcommands, and the entry point of the command line. */
@Command(
    name = "tamarindroute",
    mixinStandardHelpOptions = true,
    versionProvider = JarVersionProvider.class,
    description = "Decides where objects are served, kept and filled from.",
    subcommands = {
      ServeCommand.class,
      WireHostCommand.class,
      DnsCommand.class,
      AskCommand.class,
      ConfigCommand.class,
      CommandLine.HelpCommand.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:another process, a file or the machine has failed; the message says how",
      "2:the arguments are wrong",
      "3:a configuration or a frame is malformed"
    })
public final class Commands implements Runnable {

  /** Returned by a command that continues in threads of its own. */
  static final int CONTINUES = -1;

  @Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is missing");
  }

  /**
   * Runs a command, and ends the process with its exit code unless it continues; libraries may
   * leave threads running.
   */
  public static void main(String[] arguments) {
    int code = newCommandLine().execute(arguments);
    if (code != CONTINUES) {
      System.exit(code);
    }
  }

  private static CommandLine newCommandLine() {
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
