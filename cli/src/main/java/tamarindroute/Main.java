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
import tamarindroute.log.Log;
import tamarindroute.start.PlatformCommand;

/**
 * Where the program starts. The two subcommands of the operators' platform, alone and without
 * options, start past the command line's and the log's libraries, for which 32 MB have no room
 * (docs/architecture.md has the figures); all else goes to the command line, which is known by its
 * name only.
 */
public final class Main {

  private static final String COMMAND_LINE_CLASS = "tamarindroute.cli.Commands";

  private Main() {}

  public static void main(String[] arguments) {
    String alone = arguments.length == 1 ? arguments[0] : "";
    switch (alone) {
      case "serve", "wirehost" -> {
        Log.useFormat(Log.Format.SMALL);
        int code = PlatformCommand.run(alone);
        if (code != 0) {
          System.exit(code);
        }
      }
      default -> runCommandLine(arguments);
    }
  }

  /**
   * Starts the command line with all libraries; each command ends the process with its own code.
   */
  private static void runCommandLine(String[] arguments) {
    try {
      Class.forName(COMMAND_LINE_CLASS, true, loaderWithAllLibraries())
          .getMethod("main", String[].class)
          .invoke(null, (Object) arguments);
    } catch (ReflectiveOperationException | IOException | URISyntaxException e) {
      System.err.println("the libraries in lib/more beside the jar can't be loaded: " + e);
      System.exit(PlatformCommand.FAILED);
    }
  }

  /**
   * What loads the program with all libraries. Those in lib/more are off the jar's own class path:
   * each jar there costs a gateway memory though nothing of it is used. So the program is loaded
   * anew with them.
   */
  private static ClassLoader loaderWithAllLibraries() throws IOException, URISyntaxException {
    try {
      return Class.forName("picocli.CommandLine").getClassLoader();
    } catch (ClassNotFoundException e) {
      // Started from the jar: go on below.
    }
    Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    List<URL> all = new ArrayList<>(List.of(jar.toUri().toURL()));
    for (String folder : new String[] {"lib", "lib/more"}) {
      try (DirectoryStream<Path> jars =
          Files.newDirectoryStream(jar.resolveSibling(folder), "*.jar")) {
        for (Path library : jars) {
          all.add(library.toUri().toURL());
        }
      }
    }
    // Open as long as the process: the commands' threads load from it.
    ClassLoader loader =
        new URLClassLoader(all.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
    Thread.currentThread().setContextClassLoader(loader);
    return loader;
  }
}
