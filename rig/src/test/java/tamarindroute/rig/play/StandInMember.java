package tamarindroute.rig.play;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The least of a member, to try the rig itself with: sends its name to each peer's way ten times a
 * second, and prints whom it hears and whom it has not heard for half a second. Words: NAME PORT
 * [PEER=WAY]...
 */
public final class StandInMember {

  private static final long BEAT = 100_000_000;
  private static final long SILENT = 500_000_000;

  private StandInMember() {}

  public static void main(String[] words) throws Exception {
    Map<String, Integer> ways = new TreeMap<>();
    for (int i = 2; i < words.length; i++) {
      ways.put(words[i].replaceAll("=.*", ""), Integer.parseInt(words[i].replaceAll(".*=", "")));
    }
    InetAddress home = InetAddress.getByName("127.0.0.1");
    byte[] name = words[0].getBytes(StandardCharsets.UTF_8);
    Map<String, Long> heard = new HashMap<>();
    try (DatagramSocket socket = new DatagramSocket(Integer.parseInt(words[1]), home)) {
      socket.setSoTimeout(20);
      System.out.println("ready");
      long next = System.nanoTime();
      while (true) {
        long now = System.nanoTime();
        if (now - next >= 0) {
          next = now + BEAT;
          for (int port : ways.values()) {
            socket.send(new DatagramPacket(name, name.length, home, port));
          }
        }
        heard
            .entrySet()
            .removeIf(
                peer -> {
                  boolean silent = now - peer.getValue() > SILENT;
                  if (silent) {
                    System.out.println("peer " + peer.getKey() + " silent");
                  }
                  return silent;
                });
        DatagramPacket packet = new DatagramPacket(new byte[64], 64);
        try {
          socket.receive(packet);
          String peer = new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
          if (heard.put(peer, System.nanoTime()) == null) {
            System.out.println("peer " + peer + " heard");
          }
        } catch (SocketTimeoutException e) {
          // Nobody spoke just now.
        }
      }
    }
  }
}
