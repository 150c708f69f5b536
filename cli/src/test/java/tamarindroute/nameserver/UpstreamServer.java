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
final class UpstreamServer implements AutoCloseable {

  enum Behavior {
    ANSWER,
    SILENT,
    REFUSE,
    TRUNCATE,
    FORGE,
    LOWER_CASE
  }

  final AtomicInteger queries = new AtomicInteger();
  final AtomicInteger tcpQueries = new AtomicInteger();
  volatile Behavior behavior = Behavior.ANSWER;
  volatile int delayMillis;
  volatile int ttl = 1;
  volatile String address = "192.0.2.77";
  private final DatagramSocket udp;
  private final ServerSocket tcp;

  UpstreamServer() throws IOException {
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
      queries.incrementAndGet();
      byte[] query = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
      start(
          () -> {
            Thread.sleep(delayMillis);
            switch (behavior) {
              case SILENT -> {}
              case FORGE -> {
                // A forger knows the question, but not the id, nor the letters' case.
                for (int i = 0; i < 5; i++) {
                  byte[] forged = response(query, "203.0.113.66", true);
                  forged[0] ^= (byte) (i + 1);
                  udp.send(new DatagramPacket(forged, forged.length, packet.getSocketAddress()));
                }
                byte[] lower = lowerCaseResponse(query);
                udp.send(new DatagramPacket(lower, lower.length, packet.getSocketAddress()));
                byte[] good = response(query, address, true);
                udp.send(new DatagramPacket(good, good.length, packet.getSocketAddress()));
              }
              case LOWER_CASE -> {
                byte[] lower = lowerCaseResponse(query);
                udp.send(new DatagramPacket(lower, lower.length, packet.getSocketAddress()));
              }
              default -> {
                byte[] good = response(query, address, true);
                udp.send(new DatagramPacket(good, good.length, packet.getSocketAddress()));
              }
            }
          });
    }
  }

  private byte[] lowerCaseResponse(byte[] query) throws IOException {
    byte[] copy = query.clone();
    for (int i = 12; i < copy.length && copy[i] != 0; i++) {
      copy[i] = (byte) Character.toLowerCase(copy[i]);
    }
    return response(copy, "203.0.113.66", true);
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
                tcpQueries.incrementAndGet();
                byte[] good = response(query, address, false);
                out.writeShort(good.length);
                out.write(good);
              }
            }
          });
    }
  }

  private byte[] response(byte[] query, String responseAddress, boolean datagram)
      throws IOException {
    Message request = new Message(query);
    Message message = new Message(request.getHeader().getID());
    message.getHeader().setFlag(Flags.QR);
    message.addRecord(request.getQuestion(), Section.QUESTION);
    Name name = request.getQuestion().getName();
    if (behavior == Behavior.REFUSE) {
      message.getHeader().setRcode(Rcode.REFUSED);
    } else if (behavior == Behavior.TRUNCATE && datagram) {
      message.getHeader().setFlag(Flags.TC);
    } else {
      message.addRecord(
          new ARecord(name, DClass.IN, ttl, InetAddress.getByName(responseAddress)),
          Section.ANSWER);
    }
    return message.toWire();
  }

  @Override
  public void close() throws IOException {
    udp.close();
    tcp.close();
  }
}
