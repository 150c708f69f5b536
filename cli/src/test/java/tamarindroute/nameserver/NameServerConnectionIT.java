package tamarindroute.nameserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Type;

/** Clients of the name server: malformed input, TCP connections and their limits. */
class NameServerConnectionIT extends NameServerHarness {

  @Test
  void malformedInputDoesNotAffectOtherQueries() throws Exception {
    NameServerProcess nameServer =
        startNameServer(
            4,
            ZONE
                + steering(1)
                + "<limits answers-per-second=\"0\" connections=\"40\" idle=\"PT1S\"/>\n");
    Random random = new Random(9);
    List<Socket> sockets = openMalformedConnections(nameServer, random);
    sendRandomDatagrams(nameServer, random);
    // What remains of the flood in the kernel's queue may cost the first queries.
    await(() -> nameServer.queryAddresses(SHED_3, 300).size() == 1);
    for (int i = 0; i < 20; i++) {
      Message message = nameServer.query("p" + i + ".shed-3.sheds.example", 2000);
      assertThat(NameServerProcess.addresses(message)).as("query %d after the flood", i).hasSize(1);
    }
    // Each of those connections ends, by its content or by the idle timeout.
    for (Socket socket : sockets) {
      awaitEnd(socket);
    }
    assertThat(nameServer.log()).doesNotContain("\"defect\"");
  }

  private static List<Socket> openMalformedConnections(NameServerProcess nameServer, Random random)
      throws IOException {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      Socket socket = connect(nameServer);
      sockets.add(socket);
      try {
        sendMalformed(socket.getOutputStream(), i % 4, random);
      } catch (IOException e) {
        // The name server has closed the connection already, as it should.
      }
    }
    return sockets;
  }

  private static Socket connect(NameServerProcess nameServer) throws IOException {
    return new Socket(nameServer.address.getAddress(), nameServer.address.getPort());
  }

  private static void sendMalformed(OutputStream out, int kind, Random random) throws IOException {
    switch (kind) {
      case 0 -> out.write(new byte[] {(byte) 0xFF, (byte) 0xFF, 1, 2, 3});
      case 1 -> out.write(new byte[] {0});
      case 2 -> out.write(randomBytes(random, 300));
      default -> {}
    }
  }

  private static byte[] randomBytes(Random random, int length) {
    byte[] bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }

  private static void sendRandomDatagrams(NameServerProcess nameServer, Random random)
      throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 20_000; i++) {
        byte[] bytes = randomBytes(random, random.nextInt(700));
        socket.send(new DatagramPacket(bytes, bytes.length, nameServer.address));
      }
    }
  }

  /** Reads until the connection ends, by a reset or in order, and closes it. */
  private static void awaitEnd(Socket socket) throws IOException {
    socket.setSoTimeout(6000);
    try (socket) {
      socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (SocketException e) {
      // A reset is an end as well.
    }
  }

  @Test
  void longestIdleConnectionIsClosedForANewOne() throws Exception {
    NameServerProcess nameServer =
        startNameServer(
            2, ZONE + steering(1) + "<limits answers-per-second=\"0\" connections=\"5\"/>\n");
    List<Socket> sockets = new ArrayList<>();
    byte[] query = tcpFrame(NameServerProcess.encodeQuery(SHED_3, Type.A, 1));
    for (int i = 0; i < 8; i++) {
      Socket socket = connect(nameServer);
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(query, 0, 2);
      socket.getOutputStream().write(query, 2, query.length - 2);
      readTcpFrame(new DataInputStream(socket.getInputStream()));
      sockets.add(socket);
    }
    for (int i = 0; i < 3; i++) {
      assertThat(sockets.get(i).getInputStream().read()).as("connection %d", i).isEqualTo(-1);
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Test
  void pipelinedQueriesAreAnsweredAndAClientThatDoesNotReadIsClosed() throws Exception {
    NameServerProcess nameServer = startNameServer(4, STEERING);
    assertPipelinedQueriesAreAnswered(nameServer, 200);
    assertClosedWithoutReading(nameServer);
    nameServer.awaitLog("responses-unread");
    assertThat(nameServer.queryAddresses(SHED_3, 1000)).hasSize(1);
  }

  private static byte[] tcpFrame(byte[] query) {
    byte[] frame = new byte[query.length + 2];
    frame[0] = (byte) (query.length >> 8);
    frame[1] = (byte) query.length;
    System.arraycopy(query, 0, frame, 2, query.length);
    return frame;
  }

  private static byte[] readTcpFrame(DataInputStream in) throws IOException {
    byte[] message = new byte[in.readUnsignedShort()];
    in.readFully(message);
    return message;
  }

  private static void assertPipelinedQueriesAreAnswered(NameServerProcess nameServer, int count)
      throws IOException {
    try (Socket socket = connect(nameServer)) {
      ByteArrayOutputStream queries = new ByteArrayOutputStream();
      for (int i = 0; i < count; i++) {
        String name = "p" + i % 64 + "." + SHED_3;
        queries.writeBytes(tcpFrame(NameServerProcess.encodeQuery(name, Type.A, i)));
      }
      socket.getOutputStream().write(queries.toByteArray());
      socket.setSoTimeout(3000);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      Set<Integer> ids = new HashSet<>();
      for (int i = 0; i < count; i++) {
        ids.add(new Message(readTcpFrame(in)).getHeader().getID());
      }
      assertThat(ids).hasSize(count);
    }
  }

  private static void assertClosedWithoutReading(NameServerProcess nameServer) throws IOException {
    byte[] frame = tcpFrame(NameServerProcess.encodeQuery(SHED_3, Type.A, 1));
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(2048);
      socket.connect(nameServer.address);
      boolean ended = false;
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (!ended && System.nanoTime() < deadline) {
        try {
          for (int i = 0; i < 200; i++) {
            socket.getOutputStream().write(frame);
          }
        } catch (SocketException e) {
          ended = true;
        }
      }
      assertThat(ended).as("a client that reads nothing is closed").isTrue();
    }
  }
}
