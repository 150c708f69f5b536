package tamarindroute.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.members.MemberConfiguration;
import tamarindroute.members.MembershipService;
import tamarindroute.start.PlatformCommand;

/** The subcommand {@code serve}: runs a gateway, as a member of a group if configured. */
@Command(
    name = PlatformCommand.SERVE,
    mixinStandardHelpOptions = true,
    description = "Run a gateway; EDGE_CONFIG names its configuration file.")
final class ServeCommand implements Callable<Integer> {

  @Mixin private LoggingOptions logging;

  @Option(
      names = "--members",
      paramLabel = "FILE",
      description = "exchange state with other gateways; settings in XML, see deploy/members.xml")
  private Path membersFile;

  @Override
  public Integer call() throws IOException {
    logging.apply();
    int exitCode = PlatformCommand.run(PlatformCommand.SERVE, membershipService());
    return exitCode == 0 ? Commands.KEEPS_RUNNING : exitCode;
  }

  private LifecycleComponent membershipService() throws IOException {
    return membersFile == null
        ? null
        : new MembershipService(MemberConfiguration.read(membersFile));
  }
}
