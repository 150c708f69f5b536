package tamarindroute.start;

import java.io.IOException;
import tamarindroute.gateway.GatewayServer;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.policy.RatioTestPolicy;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.wirehost.MalformedFrameException;
import tamarindroute.wirehost.WireHost;

/** Runs the subcommands of the operators' platform and maps their failures to exit codes. */
public final class PlatformCommand {

  /** The subcommand that runs a gateway. */
  public static final String SERVE = "serve";

  /** The subcommand that answers the operators' simulator. */
  public static final String WIRE_HOST = "wirehost";

  private static final String CONFIGURATION_VARIABLE = "EDGE_CONFIG";

  private PlatformCommand() {}

  /** Runs a subcommand without a component beside it; see the other method. */
  public static int run(String subcommand) {
    return run(subcommand, null);
  }

  /**
   * Runs a subcommand. Failures are printed on standard error.
   *
   * @param subcommand {@link #SERVE} or {@link #WIRE_HOST}
   * @param component started and stopped with a gateway; null for none
   * @return an exit code; 0 if the subcommand ended in order or goes on in threads of its own
   */
  public static int run(String subcommand, LifecycleComponent component) {
    try {
      if (subcommand.equals(SERVE)) {
        GatewayServer.start(System.getenv(CONFIGURATION_VARIABLE), RatioTestPolicy::new, component);
      } else {
        new WireHost(RatioTestPolicy::new).serve(System.in, System.out);
      }
      return 0;
    } catch (MalformedFrameException e) {
      System.err.println("wirehost: malformed frame: " + e.getMessage());
      return ExitCode.MALFORMED;
    } catch (MalformedSettingsException e) {
      System.err.println(subcommand + ": malformed settings: " + e.getMessage());
      return ExitCode.MALFORMED;
    } catch (IOException e) {
      System.err.println(subcommand + ": " + e.getMessage());
      return ExitCode.FAILED;
    } catch (RuntimeException e) {
      // The exit code ends the process, which threads that were started would otherwise keep alive.
      System.err.println(subcommand + ": a defect: " + firstLine(e) + " at " + origin(e));
      return ExitCode.FAILED;
    }
  }

  private static String firstLine(RuntimeException failure) {
    return String.valueOf(failure).lines().findFirst().orElse("");
  }

  private static Object origin(RuntimeException failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    return trace.length > 0 ? trace[0] : "no place";
  }
}
