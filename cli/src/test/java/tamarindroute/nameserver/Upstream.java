package tamarindroute.nameserver;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;

/**
 * A stand-in for another installation's router or a resolver: answers every A question with one
 * address.
 */
final class Upstream implements AutoCloseable {

  enum Mode {
    ANSWER,
    SILENT,
    REFUSE,
    CUT,
    FORGE,
    LOWER_CASE
  }

  final AtomicInteger asked = new AtomicInteger();
  final AtomicInteger overTcp = new AtomicInteger();
  volatile Mode mode = Mode.ANSWER;
  volatile int delayMillis;
  volatile int ttl = 1;
  volatile String address = "192.0.2.77";
  private final DatagramSocket udp;
  private final ServerSocket tcp;

  Upstream() throws IOException {
    DatagramSocket datagrams = null;
    ServerSocket streams = null;
    for (int i = 0; streams == null; i++) {
      datagrams = new DatagramSocket(0, InetAddress.getLoopbackAddress());
      try {
        streams = new ServerSocket(datagrams.getLocalPort(), 50, InetAddress.getLoopbackAddress());
      } catch (IOException e) {
        datagrams.close();
        if (i > 20) {
          throw e;
        }
      }
    }
    udp = datagrams;
    tcp = streams;
    start(this::serveDatagrams);
    start(this::serveStreams);
  }

  private interface Work {
    void run() throws IOException, InterruptedException;
  }

  private static void start(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // Closed by the test.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return udp.getLocalPort();
  }

  private void serveDatagrams() throws IOException {
    while (true) {
      DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
      udp.receive(packet);
      asked.incrementAndGet();
      byte[] query = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
      start(
          () -> {
            Thread.sleep(delayMillis);
            switch (mode) {
              case SILENT -> {}
              case FORGE -> {
                // A forger knows the question, but not the id, nor the letters' case.
                for (int i = 0; i < 5; i++) {
                  byte[] forged = answer(query, "203.0.113.66", true);
                  forged[0] ^= (byte) (i + 1);
                  udp.send(new DatagramPacket(forged, forged.length, packet.getSocketAddress()));
                }
                byte[] lower = lowered(query);
                udp.send(new DatagramPacket(lower, lower.length, packet.getSocketAddress()));
                byte[] good = answer(query, address, true);
                udp.send(new DatagramPacket(good, good.length, packet.getSocketAddress()));
              }
              case LOWER_CASE -> {
                byte[] lower = lowered(query);
                udp.send(new DatagramPacket(lower, lower.length, packet.getSocketAddress()));
              }
              default -> {
                byte[] good = answer(query, address, true);
                udp.send(new DatagramPacket(good, good.length, packet.getSocketAddress()));
              }
            }
          });
    }
  }

  private byte[] lowered(byte[] query) throws IOException {
    byte[] copy = query.clone();
    for (int i = 12; i < copy.length && copy[i] != 0; i++) {
      copy[i] = (byte) Character.toLowerCase(copy[i]);
    }
    return answer(copy, "203.0.113.66", true);
  }

  private void serveStreams() throws IOException {
    while (true) {
      Socket socket = tcp.accept();
      start(
          () -> {
            try (socket;
                DataInputStream in = new DataInputStream(socket.getInputStream());
                DataOutputStream out = new DataOutputStream(socket.getOutputStream())) {
              while (true) {
                byte[] query = new byte[in.readUnsignedShort()];
                in.readFully(query);
                overTcp.incrementAndGet();
                byte[] good = answer(query, address, false);
                out.writeShort(good.length);
                out.write(good);
              }
            }
          });
    }
  }

  private byte[] answer(byte[] query, String told, boolean datagram) throws IOException {
    Message asking = new Message(query);
    Message message = new Message(asking.getHeader().getID());
    message.getHeader().setFlag(Flags.QR);
    message.addRecord(asking.getQuestion(), Section.QUESTION);
    Name name = asking.getQuestion().getName();
    if (mode == Mode.REFUSE) {
      message.getHeader().setRcode(Rcode.REFUSED);
    } else if (mode == Mode.CUT && datagram) {
      message.getHeader().setFlag(Flags.TC);
    } else {
      message.addRecord(
          new ARecord(name, DClass.IN, ttl, InetAddress.getByName(told)), Section.ANSWER);
    }
    return message.toWire();
  }

  @Override
  public void close() throws IOException {
    udp.close();
    tcp.close();
  }
}
