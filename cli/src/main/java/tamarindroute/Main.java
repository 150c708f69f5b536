package tamarindroute;

import java.io.IOException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.gateway.Gateway;
import tamarindroute.host.Companion;
import tamarindroute.log.Log;
import tamarindroute.policy.Brain;
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
            default -> more(arguments);
        }
    }

    /**
     * Starts the command line with all libraries. Those in lib/more are off the jar's own class path: each jar there
     * costs a gateway memory though nothing of it is used. So the program is loaded anew with them.
     */
    private static void more(String[] arguments) {
        try {
            Class.forName("picocli.CommandLine");
            tamarindroute.cli.Commands.main(arguments);
            return;
        } catch (ClassNotFoundException e) {
            // Started from the jar: go on below.
        }
        try {
            Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            List<URL> all = new ArrayList<>(List.of(jar.toUri().toURL()));
            for (String folder : new String[] {"lib", "lib/more"}) {
                try (DirectoryStream<Path> jars = Files.newDirectoryStream(jar.resolveSibling(folder), "*.jar")) {
                    for (Path library : jars) {
                        all.add(library.toUri().toURL());
                    }
                }
            }
            // Open as long as the process: the commands' threads load from it.
            @SuppressWarnings("resource")
            ClassLoader loader = new URLClassLoader(all.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            Class.forName("tamarindroute.cli.Commands", true, loader).getMethod("main", String[].class)
                    .invoke(null, (Object) arguments);
        } catch (ReflectiveOperationException | IOException | URISyntaxException e) {
            System.err.println("the libraries in lib/more beside the jar can't be loaded: " + e);
            System.exit(FAILED);
        }
    }

    /** Runs one of the two; 0 where it goes on in threads of its own or has ended in order. */
    public static int run(String subcommand) {
        return run(subcommand, null);
    }

    /** The same with what lives beside a gateway, or null. */
    public static int run(String subcommand, Companion companion) {
        try {
            if (subcommand.equals("serve")) {
                Gateway.start(System.getenv("EDGE_CONFIG"), Brain::new, companion);
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
