package tamarindroute.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import tamarindroute.start.PlatformCommand;

/** The subcommand {@code wirehost}: answers the operators' simulator. */
@Command(
    name = PlatformCommand.WIRE_HOST,
    mixinStandardHelpOptions = true,
    description =
        "Decide for many gateways, over the simulator's protocol on standard input and output.")
final class WireHostCommand implements Callable<Integer> {

  @Override
  public Integer call() {
    return PlatformCommand.run(PlatformCommand.WIRE_HOST);
  }
}
