package tamarindroute.start;

import java.io.IOException;
import tamarindroute.gateway.GatewayServer;
import tamarindroute.host.LifecycleComponent;
import tamarindroute.policy.RatioTestPolicy;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.wirehost.MalformedFrameException;
import tamarindroute.wirehost.WireHost;

/**
 * Runs the two subcommands of the operators' platform and tells with which code the process ends.
 */
public final class PlatformCommand {

  /** Something a peer, a file or the machine did; the message says what. */
  public static final int FAILED = 1;

  /** A configuration or a frame that can't be used. */
  public static final int MALFORMED = 3;

  private PlatformCommand() {}

  /** Runs one of the two; 0 where it goes on in threads of its own or has ended in order. */
  public static int run(String subcommand) {
    return run(subcommand, null);
  }

  /** The same with what lives beside a gateway, or null. */
  public static int run(String subcommand, LifecycleComponent component) {
    try {
      if (subcommand.equals("serve")) {
        GatewayServer.start(System.getenv("EDGE_CONFIG"), RatioTestPolicy::new, component);
      } else {
        new WireHost(RatioTestPolicy::new).serve(System.in, System.out);
      }
      return 0;
    } catch (MalformedFrameException e) {
      System.err.println("wirehost: malformed frame: " + e.getMessage());
      return MALFORMED;
    } catch (MalformedSettingsException e) {
      System.err.println(subcommand + ": malformed settings: " + e.getMessage());
      return MALFORMED;
    } catch (IOException e) {
      System.err.println(subcommand + ": " + e.getMessage());
      return FAILED;
    } catch (RuntimeException e) {
      // A defect: the threads that were started would else keep a process that nobody can use.
      System.err.println(
          subcommand
              + ": a defect: "
              + String.valueOf(e).lines().findFirst().orElse("")
              + " at "
              + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "no place"));
      return FAILED;
    }
  }
}
