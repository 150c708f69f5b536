package tamarindroute.rig.play;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.rig.journal.LinkEvent;
import tamarindroute.rig.proxy.ProxyNetwork;

/** The proxies' ports by directed link. */
final class ProxyPorts {

  private final ProxyNetwork proxies;
  private final Map<String, Integer> portByLink = new HashMap<>();

  ProxyPorts(ProxyNetwork proxies) {
    this.proxies = proxies;
  }

  /** Opens a proxy to a port of this machine. */
  void open(String from, String to, int targetPort) throws IOException {
    int port = proxies.open(from, to, Loopback.address(targetPort));
    portByLink.put(LinkEvent.nameOf(from, to), port);
  }

  /** Opens proxies between all processes, in both directions. */
  void openBetween(Map<String, Integer> ports) throws IOException {
    for (String from : ports.keySet()) {
      for (Map.Entry<String, Integer> target : ports.entrySet()) {
        if (!from.equals(target.getKey())) {
          open(from, target.getKey(), target.getValue());
        }
      }
    }
  }

  int get(String from, String to) {
    return portByLink.get(LinkEvent.nameOf(from, to));
  }
}
