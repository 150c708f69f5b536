package tamarindroute.rig.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The effect of faults on datagrams and streams in both directions, and their reproducibility by
 * seed.
 */
@Timeout(20)
class ProxyNetworkTest {

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private ProxyNetwork proxies;
  private DatagramSocket sender;
  private DatagramSocket receiver;
  private int port;

  @BeforeEach
  void open() throws IOException {
    sender = new DatagramSocket(0, LOOPBACK);
    receiver = new DatagramSocket(0, LOOPBACK);
    receiver.setSoTimeout(400);
    sender.setSoTimeout(400);
    openProxy();
  }

  private void openProxy() throws IOException {
    proxies = new ProxyNetwork(5);
    port = proxies.open("a", "b", (InetSocketAddress) receiver.getLocalSocketAddress());
  }

  @AfterEach
  void close() throws IOException {
    proxies.close();
    sender.close();
    receiver.close();
  }

  private void fault(String from, String to, UnaryOperator<LinkFaults> change) {
    proxies.changeFaults(from, to, change);
  }

  private static int next(DatagramSocket socket) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[8], 8);
    socket.receive(packet);
    return ((packet.getData()[0] & 0xff) << 8) | (packet.getData()[1] & 0xff);
  }

  private void send(int number) throws IOException {
    sender.send(
        new DatagramPacket(new byte[] {(byte) (number >> 8), (byte) number}, 2, LOOPBACK, port));
  }

  /** Sends some datagrams and returns those that arrived, in order. */
  private List<Integer> pass(int count) throws Exception {
    List<Integer> received = new ArrayList<>();
    Thread reader =
        new Thread(
            () -> {
              try {
                while (true) {
                  received.add(next(receiver));
                }
              } catch (IOException e) {
                // No more arrive.
              }
            });
    reader.start();
    for (int i = 0; i < count; i++) {
      send(i);
      if (i % 50 == 49) {
        Thread.sleep(5);
      }
    }
    reader.join();
    return received;
  }

  @Test
  void theSameSeedLosesAndDuplicatesTheSameDatagrams() throws Exception {
    UnaryOperator<LinkFaults> change = fault -> fault.withLoss(0.2).withDuplication(0.1);
    fault("a", "b", change);
    List<Integer> first = pass(1000);
    proxies.close();
    openProxy();
    fault("a", "b", change);
    assertThat(pass(1000)).isEqualTo(first);
    assertThat(first.stream().distinct().count()).isBetween(740L, 860L);
    assertThat(first.size() - first.stream().distinct().count()).isBetween(50L, 115L);
  }

  @Test
  void delaysHoldAndJitterReorders() throws Exception {
    fault("a", "b", fault -> fault.withDelay(Duration.ofMillis(100), Duration.ZERO));
    long start = System.nanoTime();
    send(1);
    assertThat(next(receiver)).isEqualTo(1);
    assertThat(Duration.ofNanos(System.nanoTime() - start))
        .isBetween(Duration.ofMillis(100), Duration.ofMillis(390));
    fault("a", "b", fault -> fault.withDelay(Duration.ZERO, Duration.ofMillis(50)));
    List<Integer> received = pass(100);
    assertThat(received)
        .isNotEqualTo(IntStream.range(0, 100).boxed().toList())
        .containsExactlyInAnyOrderElementsOf(IntStream.range(0, 100).boxed().toList());
  }

  @Test
  void oneDirectionIsCutWhileTheOtherGoesOn() throws Exception {
    send(1);
    DatagramPacket packet = new DatagramPacket(new byte[8], 8);
    receiver.receive(packet);
    fault("a", "b", fault -> fault.withCut(true));
    send(2);
    assertThatThrownBy(() -> next(receiver)).isInstanceOf(SocketTimeoutException.class);
    receiver.send(new DatagramPacket(new byte[] {0, 9}, 2, packet.getSocketAddress()));
    assertThat(next(sender)).isEqualTo(9);
    fault("a", "b", fault -> LinkFaults.NONE);
    send(3);
    assertThat(next(receiver)).isEqualTo(3);
  }

  @Test
  void aStreamStaysIntactUnderLossAndDelayAndACutHoldsItBack() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      int proxyPort = proxies.open("a", "b", (InetSocketAddress) server.getLocalSocketAddress());
      try (Socket caller = new Socket(LOOPBACK, proxyPort);
          Socket callee = server.accept()) {
        fault(
            "a",
            "b",
            fault -> fault.withLoss(0.2).withDelay(Duration.ofMillis(1), Duration.ofMillis(5)));
        byte[] bytes = new byte[600_000];
        for (int i = 0; i < bytes.length; i++) {
          bytes[i] = (byte) ((i * 31) >> 4);
        }
        Thread writer =
            new Thread(
                () -> {
                  try {
                    caller.getOutputStream().write(bytes);
                    caller.shutdownOutput();
                  } catch (IOException e) {
                    throw new IllegalStateException(e);
                  }
                });
        writer.start();
        assertThat(callee.getInputStream().readAllBytes()).isEqualTo(bytes);
        writer.join();
        fault("b", "a", fault -> fault.withCut(true));
        callee.getOutputStream().write(7);
        caller.setSoTimeout(200);
        assertThatThrownBy(() -> caller.getInputStream().read())
            .isInstanceOf(SocketTimeoutException.class);
        fault("b", "a", fault -> LinkFaults.NONE);
        caller.setSoTimeout(5000);
        assertThat(caller.getInputStream().read()).isEqualTo(7);
      }
    }
  }

  @Test
  // The close that resets the connection is the step under test.
  @SuppressWarnings("try")
  void aRefusedConnectionAndAResetAreForwarded() throws Exception {
    int proxyPort;
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      proxyPort = proxies.open("a", "b", (InetSocketAddress) server.getLocalSocketAddress());
      try (Socket caller = new Socket(LOOPBACK, proxyPort);
          Socket callee = server.accept()) {
        callee.setSoLinger(true, 0);
        callee.close();
        assertThatThrownBy(() -> caller.getInputStream().read())
            .isInstanceOf(SocketException.class);
      }
    }
    try (Socket caller = new Socket(LOOPBACK, proxyPort)) {
      caller.setSoTimeout(5000);
      assertThatThrownBy(() -> caller.getInputStream().read()).isInstanceOf(SocketException.class);
    }
  }

  @Test
  void aConnectionOverACutLinkStaysSilentUntilItIsHealed() throws Exception {
    fault("a", "b", fault -> fault.withCut(true));
    try (ServerSocket server = new ServerSocket(0, 1, LOOPBACK)) {
      server.setSoTimeout(200);
      int proxyPort = proxies.open("a", "b", (InetSocketAddress) server.getLocalSocketAddress());
      try (Socket caller = new Socket(LOOPBACK, proxyPort)) {
        caller.getOutputStream().write(5);
        assertThatThrownBy(server::accept).isInstanceOf(SocketTimeoutException.class);
        fault("a", "b", fault -> LinkFaults.NONE);
        server.setSoTimeout(5000);
        try (Socket callee = server.accept()) {
          assertThat(callee.getInputStream().read()).isEqualTo(5);
        }
      }
    }
  }
}
