package tamarindroute.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Addresses on loopback and ways to end a connection. */
final class Sockets {

  private Sockets() {}

  /** An IPv4 loopback address, with port 0 for any free port. */
  static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Ends a connection by a TCP reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The connection has ended already.
    }
  }

  /** Closes a connection in order. */
  static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection has ended already.
    }
  }
}
