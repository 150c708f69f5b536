package tamarindroute.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import tamarindroute.nameserver.NameServer;
import tamarindroute.policy.RatioTestPolicy;

/** Starts a name server. */
@Command(
    name = "dns",
    mixinStandardHelpOptions = true,
    description = "Serve as a name server that steers clients to caches.")
final class DnsCommand implements Callable<Integer> {

  @Mixin private LoggingOptions logging;

  @Parameters(paramLabel = "FILE", description = "settings in XML, see deploy/dns.xml")
  private Path file;

  @Override
  public Integer call() throws IOException {
    logging.apply();
    NameServer.start(file, RatioTestPolicy::new);
    return Commands.CONTINUES;
  }
}
