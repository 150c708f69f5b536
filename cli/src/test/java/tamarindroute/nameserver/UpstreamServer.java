package tamarindroute.nameserver;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;

/** A simulated resolver that answers each query for A records with one address, or misbehaves. */
final class UpstreamServer implements AutoCloseable {

  /** What the server does with a query. */
  enum Behavior {
    ANSWER,
    SILENT,
    REFUSE,
    /** Responds to UDP with the flag TC and no answer. */
    TRUNCATE,
    /** Sends forged responses before the right one. */
    FORGE,
    /** Responds with the name in lower case. */
    LOWER_CASE
  }

  private static final String FORGED_ADDRESS = "203.0.113.66";
  private static final int FORGED_RESPONSES = 5;
  private static final int HEADER_BYTES = 12;
  private static final int RECEIVE_BUFFER_BYTES = 2000;
  private static final int BACKLOG = 50;
  private static final int MAX_PORT_ATTEMPTS = 20;

  /** Number of queries by UDP. */
  final AtomicInteger queries = new AtomicInteger();

  final AtomicInteger tcpQueries = new AtomicInteger();
  volatile Behavior behavior = Behavior.ANSWER;
  volatile int delayMillis;

  /** TTL of the answers in seconds. */
  volatile int ttl = 1;

  volatile String address = "192.0.2.77";

  private final DatagramSocket udp;
  private final ServerSocket tcp;

  /** Starts a server on a port that is free for both UDP and TCP. */
  UpstreamServer() throws IOException {
    DatagramSocket datagrams = null;
    ServerSocket streams = null;
    for (int i = 0; streams == null; i++) {
      datagrams = new DatagramSocket(0, InetAddress.getLoopbackAddress());
      try {
        streams =
            new ServerSocket(datagrams.getLocalPort(), BACKLOG, InetAddress.getLoopbackAddress());
      } catch (IOException e) {
        datagrams.close();
        if (i > MAX_PORT_ATTEMPTS) {
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
                // The test has closed the sockets.
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
      DatagramPacket packet =
          new DatagramPacket(new byte[RECEIVE_BUFFER_BYTES], RECEIVE_BUFFER_BYTES);
      udp.receive(packet);
      queries.incrementAndGet();
      byte[] query = Arrays.copyOf(packet.getData(), packet.getLength());
      SocketAddress client = packet.getSocketAddress();
      start(() -> respond(query, client));
    }
  }

  private void respond(byte[] query, SocketAddress client)
      throws IOException, InterruptedException {
    Thread.sleep(delayMillis);
    switch (behavior) {
      case SILENT -> {}
      case FORGE -> {
        sendForged(query, client);
        send(response(query, address, true), client);
      }
      case LOWER_CASE -> send(lowerCaseResponse(query), client);
      default -> send(response(query, address, true), client);
    }
  }

  private void send(byte[] response, SocketAddress client) throws IOException {
    udp.send(new DatagramPacket(response, response.length, client));
  }

  /** Sends what a forger can that knows the question, but neither the id nor the name's case. */
  private void sendForged(byte[] query, SocketAddress client) throws IOException {
    for (int i = 0; i < FORGED_RESPONSES; i++) {
      byte[] forged = response(query, FORGED_ADDRESS, true);
      forged[0] ^= (byte) (i + 1);
      send(forged, client);
    }
    send(lowerCaseResponse(query), client);
  }

  private byte[] lowerCaseResponse(byte[] query) throws IOException {
    byte[] copy = query.clone();
    for (int i = HEADER_BYTES; i < copy.length && copy[i] != 0; i++) {
      copy[i] = (byte) Character.toLowerCase(copy[i]);
    }
    return response(copy, FORGED_ADDRESS, true);
  }

  private void serveStreams() throws IOException {
    while (true) {
      Socket socket = tcp.accept();
      start(() -> serveStream(socket));
    }
  }

  private void serveStream(Socket socket) throws IOException {
    try (socket;
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(socket.getOutputStream())) {
      while (true) {
        byte[] query = new byte[in.readUnsignedShort()];
        in.readFully(query);
        tcpQueries.incrementAndGet();
        byte[] response = response(query, address, false);
        out.writeShort(response.length);
        out.write(response);
      }
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
      InetAddress answer = InetAddress.getByName(responseAddress);
      message.addRecord(new ARecord(name, DClass.IN, ttl, answer), Section.ANSWER);
    }
    return message.toWire();
  }

  @Override
  public void close() throws IOException {
    udp.close();
    tcp.close();
  }
}
