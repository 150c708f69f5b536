package tamarindroute.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tamarindroute.config.ServiceSettings;
import tamarindroute.config.UnusableException;
import tamarindroute.dns.DnsSettings;
import tamarindroute.start.ExitCode;

/** Groups the commands on settings files. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = "Work on settings files.",
    subcommands = ConfigCommand.CheckCommand.class)
final class ConfigCommand implements Runnable {

  @Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is missing");
  }

  /** Checks a settings file. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Read settings and the files that they name, and list all errors in them.")
  static final class CheckCommand implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "settings in XML")
    private Path file;

    @Override
    public Integer call() {
      try {
        System.out.println(file + ": sound, " + summary(ServiceSettings.read(file).dns()));
        return ExitCode.OK;
      } catch (UnusableException e) {
        e.faults().forEach(System.err::println);
        return ExitCode.MALFORMED;
      }
    }

    private static String summary(DnsSettings dns) {
      int locationCount = dns.steer() == null ? 0 : dns.steer().locations().size();
      return dns.zones().size() + " zones, " + locationCount + " locations";
    }
  }
}
