package tamarindroute.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import tamarindroute.members.MemberConfiguration;
import tamarindroute.members.MembershipService;
import tamarindroute.start.ExitCode;
import tamarindroute.start.ServiceLauncher;

/** Starts a gateway, optionally as a member of a fleet. */
@Command(
    name = ServiceLauncher.SERVE,
    mixinStandardHelpOptions = true,
    description = "Serve as a gateway; EDGE_CONFIG names its configuration file.")
final class ServeCommand implements Callable<Integer> {

  @Mixin private LoggingOptions logging;

  @Option(
      names = "--members",
      paramLabel = "FILE",
      description = "join other gateways: settings in XML, see deploy/members.xml")
  private Path members;

  @Override
  public Integer call() throws IOException {
    logging.apply();
    MembershipService membership =
        members == null ? null : new MembershipService(MemberConfiguration.read(members));
    int code = ServiceLauncher.serve(membership);
    return code == ExitCode.OK ? Commands.CONTINUES : code;
  }
}
