package tamarindroute.rig.play;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A minimal process that tests the rig itself: sends its name to each peer's proxy ten times a
 * second, and prints which peers it hears and which it has not heard for half a second. Arguments:
 * NAME PORT [PEER=PROXYPORT]...
 */
public final class StubMember {

  private static final long SEND_INTERVAL_NANOS = 100_000_000;
  private static final long SILENCE_NANOS = 500_000_000;
  private static final int RECEIVE_TIMEOUT_MILLIS = 20;
  private static final int MAX_NAME_BYTES = 64;

  private final byte[] name;
  private final Map<String, Integer> proxyPorts;
  private final DatagramSocket socket;
  private final Map<String, Long> lastHeard = new HashMap<>();
  private long nextSend = System.nanoTime();

  private StubMember(String name, Map<String, Integer> proxyPorts, DatagramSocket socket) {
    this.name = name.getBytes(StandardCharsets.UTF_8);
    this.proxyPorts = proxyPorts;
    this.socket = socket;
  }

  /** Runs until the process is killed. */
  public static void main(String[] arguments) throws IOException {
    Map<String, Integer> proxyPorts = new TreeMap<>();
    for (int i = 2; i < arguments.length; i++) {
      int separator = arguments[i].indexOf('=');
      proxyPorts.put(
          arguments[i].substring(0, separator),
          Integer.valueOf(arguments[i].substring(separator + 1)));
    }
    int port = Integer.parseInt(arguments[1]);
    try (DatagramSocket socket = new DatagramSocket(port, Loopback.host())) {
      socket.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
      System.out.println("ready");
      StubMember member = new StubMember(arguments[0], proxyPorts, socket);
      while (true) {
        member.sendIfDue();
        member.reportSilent();
        member.receive();
      }
    }
  }

  private void sendIfDue() throws IOException {
    long now = System.nanoTime();
    if (now - nextSend < 0) {
      return;
    }
    nextSend = now + SEND_INTERVAL_NANOS;
    InetAddress host = Loopback.host();
    for (int port : proxyPorts.values()) {
      socket.send(new DatagramPacket(name, name.length, host, port));
    }
  }

  private void reportSilent() {
    long now = System.nanoTime();
    lastHeard
        .entrySet()
        .removeIf(
            peer -> {
              boolean silent = now - peer.getValue() > SILENCE_NANOS;
              if (silent) {
                System.out.println("peer " + peer.getKey() + " silent");
              }
              return silent;
            });
  }

  private void receive() throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_NAME_BYTES], MAX_NAME_BYTES);
    try {
      socket.receive(packet);
    } catch (SocketTimeoutException e) {
      return;
    }
    String peer = new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    if (lastHeard.put(peer, System.nanoTime()) == null) {
      System.out.println("peer " + peer + " heard");
    }
  }
}
