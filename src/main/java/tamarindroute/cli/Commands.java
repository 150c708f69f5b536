package tamarindroute.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tamarindroute.Main;
import tamarindroute.log.Log;

/** The subcommands with their help; what each does stands elsewhere. */
@Command(name = "tamarindroute", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "Decides where objects are served, kept and filled from.",
        subcommands = {Commands.Serve.class, Commands.WireHost.class, CommandLine.HelpCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:a peer, a file or the machine failed; the message says how",
            "2:the command line's words are off", "3:a configuration or a frame can't be used"})
public final class Commands implements Runnable {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is missing");
    }

    /** How the log is written; taken by every command that goes on for long. */
    static final class Logging {

        @Option(names = "--log", paramLabel = "FORM", defaultValue = "plain",
                description = "how log lines are written: ${COMPLETION-CANDIDATES} (default: plain)")
        private Log.Form form;

        void choose() {
            Log.form(form);
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

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Be a gateway on sockets; EDGE_CONFIG names its configuration file.")
    static final class Serve implements Callable<Integer> {

        @CommandLine.Mixin
        private Logging logging;

        @Override
        public Integer call() {
            logging.choose();
            return Main.run("serve");
        }
    }

    @Command(name = "wirehost", mixinStandardHelpOptions = true,
            description = "Decide for many gateways over the simulator's wire on standard input and output.")
    static final class WireHost implements Callable<Integer> {
        @Override
        public Integer call() {
            return Main.run("wirehost");
        }
    }

    /** Runs a command; a code other than 0 ends the process, 0 leaves it to the threads that were started. */
    public static void main(String[] arguments) {
        int code = line().execute(arguments);
        if (code != 0) {
            System.exit(code);
        }
    }

    static CommandLine line() {
        return new CommandLine(new Commands()).setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    System.err.println(command.getCommandName() + ": " + failure.getMessage());
                    return failure instanceof tamarindroute.settings.MalformedSettingsException
                            ? Main.MALFORMED : Main.FAILED;
                });
    }
}
