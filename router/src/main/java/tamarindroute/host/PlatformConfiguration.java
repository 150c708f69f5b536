package tamarindroute.host;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * The configuration that the platform hands to a gateway.
 *
 * @param listen where clients connect to; port 0 is any free port
 * @param feed where the control feed is served
 * @param seed of the instance's random decisions
 * @param memoryBytes the memory limit of the process
 * @param descriptorLimit the number of file descriptors that the process may open
 * @param bootstrapEvents a response of the control feed to start with, as JSON; empty if the file
 *     has none
 * @param settings of the routing policy and the gateway
 */
public record PlatformConfiguration(
    InetSocketAddress listen,
    InetSocketAddress feed,
    long seed,
    long memoryBytes,
    int descriptorLimit,
    String bootstrapEvents,
    SettingsReader settings) {

  /**
   * Reads a configuration file.
   *
   * @param path of the file; null or empty if none was named
   * @throws MalformedSettingsException if there is no such file or a value in it is unusable; the
   *     message names it
   */
  public static PlatformConfiguration read(String path) throws MalformedSettingsException {
    return ConfigurationReader.read(path, true);
  }

  /**
   * Reads a configuration file again, without its bootstrap events: a process that serves has its
   * list of caches, and may have no memory for another.
   *
   * @param path of the file
   * @throws MalformedSettingsException if there is no such file or a value in it is unusable; the
   *     message names it
   */
  public static PlatformConfiguration readAgain(String path) throws MalformedSettingsException {
    return ConfigurationReader.read(path, false);
  }

  /**
   * A copy without the bootstrap events, which are used once and would occupy memory from then on.
   */
  public PlatformConfiguration withoutBootstrapEvents() {
    return new PlatformConfiguration(
        listen, feed, seed, memoryBytes, descriptorLimit, "", settings);
  }

  /**
   * The sections of the file, by their keys, that differ and take effect only at the next start.
   */
  public List<String> changedRestartOnlySections(PlatformConfiguration other) {
    List<String> changed = new ArrayList<>();
    if (!listen.equals(other.listen)) {
      changed.add(ConfigurationReader.LISTEN);
    }
    if (memoryBytes != other.memoryBytes || descriptorLimit != other.descriptorLimit) {
      changed.add(ConfigurationReader.LIMITS);
    }
    if (!settings.equals(other.settings)) {
      changed.add(ConfigurationReader.SETTINGS);
    }
    return List.copyOf(changed);
  }
}
