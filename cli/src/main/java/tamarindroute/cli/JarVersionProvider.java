package tamarindroute.cli;

import picocli.CommandLine.IVersionProvider;

/** Takes the version from the manifest of the program's jar. */
final class JarVersionProvider implements IVersionProvider {

  @Override
  public String[] getVersion() {
    String version = JarVersionProvider.class.getPackage().getImplementationVersion();
    return new String[] {"tamarindroute " + (version == null ? "(not from a jar)" : version)};
  }
}
