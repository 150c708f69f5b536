package tamarindroute;

import java.io.IOException;
import tamarindroute.gateway.Gateway;
import tamarindroute.log.Log;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.wirehost.MalformedFrameException;
import tamarindroute.wirehost.WireHost;

/**
 * Where the program starts. The two subcommands of the operators' platform, alone and without options, start past
 * the command line's and the log's libraries, for which 32 MB have no room (docs/architecture.md has the figures);
 * all else goes to cli.Commands.
 */
public final class Main {

    /** Something a peer, a file or the machine did; the message says what. */
    public static final int FAILED = 1;
    /** The command line's words are off. */
    public static final int USAGE = 2;
    /** A configuration or a frame that can't be used. */
    public static final int MALFORMED = 3;

    private Main() { }

    public static void main(String[] arguments) {
        String alone = arguments.length == 1 ? arguments[0] : "";
        switch (alone) {
            case "serve", "wirehost" -> {
                Log.form(Log.Form.SMALL);
                int code = run(alone);
                if (code != 0) {
                    System.exit(code);
                }
            }
            default -> tamarindroute.cli.Commands.main(arguments);
        }
    }

    /** Runs one of the two; 0 where it goes on in threads of its own or has ended in order. */
    public static int run(String subcommand) {
        try {
            if (subcommand.equals("serve")) {
                Gateway.start(System.getenv("EDGE_CONFIG"), Brain::new);
            } else {
                new WireHost(Brain::new).serve(System.in, System.out);
            }
            return 0;
        } catch (MalformedFrameException e) {
            System.err.println("wirehost: malformed frame: " + e.getMessage());
            return MALFORMED;
        } catch (MalformedSettingsException e) {
            System.err.println(subcommand + ": malformed settings: " + e.getMessage());
            return MALFORMED;
        } catch (IOException e) {
            System.err.println(subcommand + ": " + e.getMessage());
            return FAILED;
        }
    }
}
