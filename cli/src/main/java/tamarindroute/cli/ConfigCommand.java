package tamarindroute.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tamarindroute.config.ServiceSettings;
import tamarindroute.config.UnusableException;
import tamarindroute.start.ExitCode;

/** The subcommand {@code config} with its own subcommands. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = "Work on settings files.",
    subcommands = ConfigCommand.Check.class)
final class ConfigCommand implements Runnable {

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), Commands.SUBCOMMAND_MISSING);
  }

  /** The subcommand {@code config check}: validates a settings file. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Validate a settings file and the files that it names; print all errors.")
  static final class Check implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "settings in XML")
    private Path file;

    @Override
    public Integer call() {
      try {
        System.out.println(file + ": " + summary(ServiceSettings.read(file)));
        return 0;
      } catch (UnusableException e) {
        e.faults().forEach(System.err::println);
        return ExitCode.MALFORMED;
      }
    }

    private static String summary(ServiceSettings settings) {
      int zones = settings.dns().zones().size();
      int locations =
          settings.dns().steer() == null ? 0 : settings.dns().steer().locations().size();
      return "sound, " + zones + " zones, " + locations + " locations";
    }
  }
}
