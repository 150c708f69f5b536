package tamarindroute.rig.play;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses of this machine's loopback interface. */
final class Loopback {

  static final String HOST = "127.0.0.1";

  private Loopback() {}

  static InetAddress host() {
    return InetAddress.getLoopbackAddress();
  }

  static InetSocketAddress address(int port) {
    return new InetSocketAddress(host(), port);
  }

  /** The address as it stands in settings. */
  static String text(int port) {
    return HOST + ":" + port;
  }
}
