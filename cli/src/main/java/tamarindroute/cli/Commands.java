package tamarindroute.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tamarindroute.config.ServiceSettings;
import tamarindroute.config.UnusableException;
import tamarindroute.log.Log;
import tamarindroute.members.MemberConfiguration;
import tamarindroute.members.MembershipService;
import tamarindroute.nameserver.NameServer;
import tamarindroute.policy.RatioTestPolicy;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.start.PlatformCommand;

/** The subcommands with their help; what each does stands elsewhere. */
@Command(
    name = "tamarindroute",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    description = "Decides where objects are served, kept and filled from.",
    subcommands = {
      Commands.Serve.class,
      Commands.WireHost.class,
      Commands.Dns.class,
      QueryCommand.class,
      Commands.ConfigGroup.class,
      CommandLine.HelpCommand.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:a peer, a file or the machine failed; the message says how",
      "2:the command line's words are off",
      "3:a configuration or a frame can't be used"
    })
public final class Commands implements Runnable {

  @Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a subcommand is missing");
  }

  /** How the log is written; taken by every command that goes on for long. */
  static final class Logging {

    @Option(
        names = "--log",
        paramLabel = "FORM",
        defaultValue = "plain",
        description = "how log lines are written: ${COMPLETION-CANDIDATES} (default: plain)")
    private Log.Format form;

    void choose() {
      Log.useFormat(form);
    }
  }

  /** The jar's own version. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Commands.class.getPackage().getImplementationVersion();
      return new String[] {"tamarindroute " + (version == null ? "(not from a jar)" : version)};
    }
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description = "Be a gateway on sockets; EDGE_CONFIG names its configuration file.")
  static final class Serve implements Callable<Integer> {

    @CommandLine.Mixin private Logging logging;

    @Option(
        names = "--members",
        paramLabel = "FILE",
        description = "know other gateways: settings in XML, see deploy/members.xml")
    private Path members;

    @Override
    public Integer call() throws IOException {
      logging.choose();
      int code =
          PlatformCommand.run(
              "serve",
              members == null ? null : new MembershipService(MemberConfiguration.read(members)));
      return code == 0 ? KEEPS_RUNNING : code;
    }
  }

  @Command(
      name = "wirehost",
      mixinStandardHelpOptions = true,
      description =
          "Decide for many gateways over the simulator's wire on standard input and output.")
  static final class WireHost implements Callable<Integer> {
    @Override
    public Integer call() {
      return PlatformCommand.run("wirehost");
    }
  }

  @Command(
      name = "dns",
      mixinStandardHelpOptions = true,
      description = "Be a name server that steers clients by the module's decisions.")
  static final class Dns implements Callable<Integer> {

    @CommandLine.Mixin private Logging logging;

    @CommandLine.Parameters(
        paramLabel = "FILE",
        description = "settings in XML, see deploy/dns.xml")
    private Path file;

    @Override
    public Integer call() throws IOException {
      logging.choose();
      NameServer.start(file, RatioTestPolicy::new);
      return KEEPS_RUNNING;
    }
  }

  @Command(
      name = "config",
      mixinStandardHelpOptions = true,
      description = "Work on settings files.",
      subcommands = Commands.Check.class)
  static final class ConfigGroup implements Runnable {

    @Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new ParameterException(spec.commandLine(), "a subcommand is missing");
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description =
          "Read settings and the files that they name, and tell all that is wrong in them.")
  static final class Check implements Callable<Integer> {

    @CommandLine.Parameters(paramLabel = "FILE", description = "settings in XML")
    private Path file;

    @Override
    public Integer call() {
      try {
        ServiceSettings settings = ServiceSettings.read(file);
        System.out.println(
            file
                + ": sound, "
                + settings.dns().zones().size()
                + " zones, "
                + (settings.dns().steer() == null ? 0 : settings.dns().steer().locations().size())
                + " locations");
        return 0;
      } catch (UnusableException e) {
        e.faults().forEach(System.err::println);
        return PlatformCommand.MALFORMED;
      }
    }
  }

  /** What a command returns that goes on in threads of its own. */
  private static final int KEEPS_RUNNING = -1;

  /**
   * Runs a command and ends the process with its code, unless it goes on; libraries may leave
   * threads behind.
   */
  public static void main(String[] arguments) {
    int code = commandLine().execute(arguments);
    if (code != KEEPS_RUNNING) {
      System.exit(code);
    }
  }

  static CommandLine commandLine() {
    return new CommandLine(new Commands())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(
            (failure, command, parsed) -> {
              System.err.println(command.getCommandName() + ": " + failure.getMessage());
              return failure instanceof MalformedSettingsException
                      || failure instanceof UnusableException
                  ? PlatformCommand.MALFORMED
                  : PlatformCommand.FAILED;
            });
  }
}
