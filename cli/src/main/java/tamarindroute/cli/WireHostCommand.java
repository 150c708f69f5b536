package tamarindroute.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import tamarindroute.start.ServiceLauncher;

/** Runs the simulator's host. */
@Command(
    name = ServiceLauncher.WIREHOST,
    mixinStandardHelpOptions = true,
    description = "Decide for many gateways of the simulator on standard input and output.")
final class WireHostCommand implements Callable<Integer> {

  @Override
  public Integer call() {
    return ServiceLauncher.wireHost();
  }
}
