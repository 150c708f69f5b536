package tamarindroute.start;

import java.io.IOException;
import tamarindroute.gateway.GatewayServer;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.policy.RatioTestPolicy;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.wirehost.MalformedFrameException;
import tamarindroute.wirehost.WireHost;

/** Runs the two services of the operators' platform, the gateway and the simulator's host. */
public final class ServiceLauncher {

  /** The subcommand of the gateway. */
  public static final String SERVE = "serve";

  /** The subcommand of the simulator's host. */
  public static final String WIREHOST = "wirehost";

  private static final String CONFIGURATION_VARIABLE = "EDGE_CONFIG";

  private ServiceLauncher() {}

  /**
   * Starts a gateway, which continues in its own threads.
   *
   * @param component that starts and stops with the gateway; null for none
   * @return an {@link ExitCode}, {@link ExitCode#OK} if the gateway has started
   */
  public static int serve(LifecycleComponent component) {
    return run(
        SERVE,
        () ->
            GatewayServer.start(
                System.getenv(CONFIGURATION_VARIABLE), RatioTestPolicy::new, component));
  }

  /**
   * Runs the simulator's host on standard input and output until the input ends.
   *
   * @return an {@link ExitCode}
   */
  public static int wireHost() {
    return run(WIREHOST, () -> new WireHost(RatioTestPolicy::new).serve(System.in, System.out));
  }

  private interface Service {
    void start() throws IOException;
  }

  private static int run(String subcommand, Service service) {
    try {
      service.start();
      return ExitCode.OK;
    } catch (MalformedFrameException e) {
      System.err.println(subcommand + ": malformed frame: " + e.getMessage());
      return ExitCode.MALFORMED;
    } catch (MalformedSettingsException e) {
      System.err.println(subcommand + ": malformed settings: " + e.getMessage());
      return ExitCode.MALFORMED;
    } catch (IOException e) {
      System.err.println(subcommand + ": " + e.getMessage());
      return ExitCode.FAILED;
    } catch (RuntimeException e) {
      // Threads that were started would otherwise keep a process alive that serves nobody.
      System.err.println(subcommand + ": a defect: " + describe(e));
      return ExitCode.FAILED;
    }
  }

  private static String describe(RuntimeException defect) {
    String firstLine = String.valueOf(defect).lines().findFirst().orElse("");
    StackTraceElement[] trace = defect.getStackTrace();
    return firstLine + " at " + (trace.length > 0 ? trace[0] : "an unknown place");
  }
}
