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
import tamarindroute.start.PlatformCommand;

/**
 * The program's entry point. The subcommands of the operators' platform, if given without options,
 * run without the libraries of the command line and the log, which do not fit into a heap of 32 MB
 * (figures: docs/architecture.md). All other arguments go to the command line, whose class is
 * loaded by name together with its libraries.
 */
public final class Main {

  private static final String COMMAND_LINE_CLASS = "tamarindroute.cli.Commands";
  private static final String COMMAND_LINE_LIBRARY_CLASS = "picocli.CommandLine";
  private static final List<String> LIBRARY_FOLDERS = List.of("lib", "lib/more");

  private Main() {}

  /** Runs the subcommand that the arguments name. */
  public static void main(String[] arguments) {
    String onlyArgument = arguments.length == 1 ? arguments[0] : "";
    switch (onlyArgument) {
      case PlatformCommand.SERVE, PlatformCommand.WIRE_HOST -> runPlatformCommand(onlyArgument);
      default -> runCommandLine(arguments);
    }
  }

  private static void runPlatformCommand(String subcommand) {
    Log.useFormat(Log.Format.SMALL);
    int exitCode = PlatformCommand.run(subcommand);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  /** Runs the command line with all libraries; each command sets the exit code itself. */
  private static void runCommandLine(String[] arguments) {
    try {
      Class.forName(COMMAND_LINE_CLASS, true, loaderWithAllLibraries())
          .getMethod("main", String[].class)
          .invoke(null, (Object) arguments);
    } catch (ReflectiveOperationException | IOException | URISyntaxException e) {
      System.err.println("the libraries in lib/more beside the jar can't be loaded: " + e);
      System.exit(ExitCode.FAILED);
    }
  }

  /**
   * Returns a class loader for the program and all libraries. The jars in lib/more are not on the
   * class path of the program's jar, since each of them would cost a gateway memory even if unused.
   * The returned loader therefore loads the program's classes again.
   */
  private static ClassLoader loaderWithAllLibraries() throws IOException, URISyntaxException {
    try {
      return Class.forName(COMMAND_LINE_LIBRARY_CLASS).getClassLoader();
    } catch (ClassNotFoundException e) {
      // The program was started from its jar.
    }
    Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    List<URL> classPath = new ArrayList<>();
    classPath.add(jar.toUri().toURL());
    for (String folder : LIBRARY_FOLDERS) {
      addJars(jar.resolveSibling(folder), classPath);
    }
    // It stays open as long as the process: the commands' threads load classes from it.
    ClassLoader loader =
        new URLClassLoader(classPath.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
    Thread.currentThread().setContextClassLoader(loader);
    return loader;
  }

  private static void addJars(Path folder, List<URL> classPath) throws IOException {
    try (DirectoryStream<Path> jars = Files.newDirectoryStream(folder, "*.jar")) {
      for (Path jar : jars) {
        classPath.add(jar.toUri().toURL());
      }
    }
  }
}
