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
import tamarindroute.start.ExitCode;
import tamarindroute.start.ServiceLauncher;

/**
 * Entry point of the process. The two services of the operators' platform, named alone and without
 * options, start without the libraries of the command line and of the log, for which 32 MB have no
 * room (docs/architecture.md has the figures). Everything else goes to the command line, which is
 * loaded by its name.
 */
public final class Main {

  private static final String COMMAND_LINE_CLASS = "tamarindroute.cli.Commands";

  /** A class of the command line's library, by which its presence is recognized. */
  private static final String COMMAND_LINE_LIBRARY_CLASS = "picocli.CommandLine";

  /** The folders of libraries beside the jar. */
  private static final List<String> LIBRARY_FOLDERS = List.of("lib", "lib/more");

  private Main() {}

  /** Starts a service of the platform, or a command of the command line. */
  public static void main(String[] arguments) {
    String onlyArgument = arguments.length == 1 ? arguments[0] : "";
    switch (onlyArgument) {
      case ServiceLauncher.SERVE -> {
        Log.useFormat(Log.Format.SMALL);
        exitUnlessOk(ServiceLauncher.serve(null));
      }
      case ServiceLauncher.WIREHOST -> {
        Log.useFormat(Log.Format.SMALL);
        exitUnlessOk(ServiceLauncher.wireHost());
      }
      default -> runCommandLine(arguments);
    }
  }

  private static void exitUnlessOk(int code) {
    if (code != ExitCode.OK) {
      System.exit(code);
    }
  }

  /** Runs the command line with all libraries; it ends the process with its own exit code. */
  private static void runCommandLine(String[] arguments) {
    try {
      Class.forName(COMMAND_LINE_CLASS, true, libraryLoader())
          .getMethod("main", String[].class)
          .invoke(null, (Object) arguments);
    } catch (ReflectiveOperationException | IOException | URISyntaxException e) {
      System.err.println("cannot load the libraries in lib/more beside the jar: " + e);
      System.exit(ExitCode.FAILED);
    }
  }

  /**
   * A class loader of the program with all libraries. Those in lib/more are not on the jar's class
   * path, since each jar there costs a gateway memory even if it is not used; so the program is
   * loaded again together with them.
   */
  private static ClassLoader libraryLoader() throws IOException, URISyntaxException {
    try {
      return Class.forName(COMMAND_LINE_LIBRARY_CLASS).getClassLoader();
    } catch (ClassNotFoundException e) {
      return newLibraryLoader();
    }
  }

  private static ClassLoader newLibraryLoader() throws IOException, URISyntaxException {
    Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    List<URL> urls = new ArrayList<>(List.of(jar.toUri().toURL()));
    for (String folder : LIBRARY_FOLDERS) {
      try (DirectoryStream<Path> libraries =
          Files.newDirectoryStream(jar.resolveSibling(folder), "*.jar")) {
        for (Path library : libraries) {
          urls.add(library.toUri().toURL());
        }
      }
    }
    // Never closed: the commands' threads load classes from it as long as the process runs.
    ClassLoader loader =
        new URLClassLoader(urls.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
    Thread.currentThread().setContextClassLoader(loader);
    return loader;
  }
}
