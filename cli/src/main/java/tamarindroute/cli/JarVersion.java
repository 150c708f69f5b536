package tamarindroute.cli;

import picocli.CommandLine.IVersionProvider;

/** The version in the jar's manifest. */
final class JarVersion implements IVersionProvider {

  @Override
  public String[] getVersion() {
    String version = JarVersion.class.getPackage().getImplementationVersion();
    return new String[] {"tamarindroute " + (version == null ? "(not from a jar)" : version)};
  }
}
