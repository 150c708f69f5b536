package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import tamarindroute.host.EventLoop;
import tamarindroute.members.agreed.AgreedViewService;
import tamarindroute.membership.Address;
import tamarindroute.membership.Connectivity;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.MembershipSettings;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Some members in one process, each with a thread and a socket of its own, and ways between that
 * can be cut.
 */
final class MemberCluster implements AutoCloseable {

  static final byte[] KEY = new byte[32];

  /** Longer than a busy machine's pauses, so that nobody is taken for dead by them. */
  static final MembershipSettings FAST_SETTINGS =
      new MembershipSettings(
          Duration.ofMillis(400),
          Duration.ofMillis(50),
          Duration.ofMillis(1_000),
          3,
          12,
          2,
          5,
          24,
          65_536,
          8_192,
          MembershipSettings.Guards.ALL);

  /** One member, and all that it was told. */
  final class Node {
    final EventLoop eventLoop = new EventLoop();
    final DatagramTransport datagrams = new DatagramTransport(eventLoop);
    final Map<Address, List<MemberState>> reportedStates =
        Collections.synchronizedMap(new HashMap<>());
    final MembershipEndpoint endpoint;
    AgreedViewService agreedViews;

    Node(MemberConfiguration settings, long wallMillis, Path voterStore) throws Exception {
      endpoint =
          on(
              eventLoop,
              () ->
                  new MembershipEndpoint(
                      eventLoop,
                      datagrams,
                      settings,
                      wallMillis,
                      new MembershipEndpoint.Listener() {
                        @Override
                        public void onStateChanged(Member about, MemberState state) {
                          reportedStates
                              .computeIfAbsent(
                                  about.address(),
                                  a -> Collections.synchronizedList(new ArrayList<>()))
                              .add(state);
                        }

                        @Override
                        public void onAgreementMessage(Member from, byte[] bytes) {
                          if (agreedViews != null) {
                            agreedViews.onPayload(from, bytes);
                          }
                        }
                      }));
      on(
          eventLoop,
          () -> {
            endpoint.start();
            if (!settings.voters().isEmpty()) {
              agreedViews =
                  new AgreedViewService(
                      eventLoop,
                      settings.advertisedAddress(),
                      settings.voters(),
                      voterStore,
                      new EndpointTransport(endpoint));
              agreedViews.tick();
            }
            return null;
          });
    }

    Map<Member, MemberState> members() throws Exception {
      return on(eventLoop, () -> Map.copyOf(endpoint.members()));
    }

    MemberState stateOf(Node other) throws Exception {
      return members().get(other.self());
    }

    Member self() throws Exception {
      return on(eventLoop, endpoint::self);
    }

    Connectivity connectivity() throws Exception {
      return on(eventLoop, endpoint::localStatus).connectivity();
    }

    void leave() throws Exception {
      on(
          eventLoop,
          () -> {
            endpoint.leave();
            return null;
          });
    }

    /** Its socket is gone and it says nothing more. */
    void kill() throws Exception {
      datagrams.shutDown();
      if (agreedViews != null) {
        on(
            eventLoop,
            () -> {
              agreedViews.close();
              return null;
            });
      }
      leave();
      nodes.remove(this);
    }
  }

  /** One directed way that can be cut; each datagram is sent twice, as a network may. */
  final class LossyProxy implements AutoCloseable {
    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    volatile boolean blocked;

    /** Of a hundred datagrams so many are lost. */
    volatile int lossPercent;

    private final Random random = new Random(proxies.size());
    volatile int forwardedCount;

    LossyProxy(InetSocketAddress to) throws IOException {
      Thread pump =
          new Thread(
              () -> {
                DatagramPacket packet = new DatagramPacket(new byte[5_000], 5_000);
                try {
                  while (true) {
                    packet.setLength(5_000);
                    socket.receive(packet);
                    if (!blocked && random.nextInt(100) >= lossPercent) {
                      forwardedCount++;
                      packet.setSocketAddress(to);
                      socket.send(packet);
                      socket.send(packet);
                    }
                  }
                } catch (IOException e) {
                  // Closed at the test's end.
                }
              },
              "way");
      pump.setDaemon(true);
      pump.start();
      proxies.add(this);
    }

    InetSocketAddress address() {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }

    @Override
    public void close() {
      socket.close();
    }
  }

  final List<InetSocketAddress> addresses = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  private final List<LossyProxy> proxies = new ArrayList<>();

  /** So many of the first places vote, and keep what they agree here. */
  int voters;

  Path folder;

  MemberCluster(int size) throws IOException {
    List<DatagramSocket> reserved = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      reserved.add(new DatagramSocket(0, InetAddress.getByName("127.0.0.1")));
      addresses.add(new InetSocketAddress("127.0.0.1", reserved.get(i).getLocalPort()));
    }
    reserved.forEach(DatagramSocket::close);
  }

  Node start(
      int index, long wallMillis, byte[] key, Map<Address, InetSocketAddress> addressOverrides)
      throws Exception {
    Address self = MemberConfiguration.toAddress(addresses.get(index));
    List<Address> seeds =
        new ArrayList<>(
            addresses.subList(0, Math.min(2, addresses.size())).stream()
                .map(MemberConfiguration::toAddress)
                .toList());
    seeds.remove(self);
    Node node =
        new Node(
            new MemberConfiguration(
                addresses.get(index),
                self,
                null,
                new MessageAuthenticator(Map.of(1, key), 1),
                seeds,
                addresses.subList(0, voters).stream().map(MemberConfiguration::toAddress).toList(),
                addressOverrides,
                FAST_SETTINGS),
            wallMillis,
            folder == null ? null : folder.resolve(index + ".agreed"));
    nodes.add(node);
    return node;
  }

  Node start(int index) throws Exception {
    return start(index, 1_000, KEY, Map.of());
  }

  /** Waits until each holds all others alive and is in touch. */
  void awaitAllConnected() throws Exception {
    for (Node node : nodes) {
      for (Node other : nodes) {
        if (node != other) {
          awaitTrue(() -> node.stateOf(other) == MemberState.ALIVE);
        }
      }
      awaitTrue(() -> node.connectivity() == Connectivity.CONNECTED);
    }
  }

  static void awaitTrue(Callable<Boolean> holds) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (!holds.call()) {
      assertThat(System.nanoTime()).as("in time").isLessThan(end);
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  static <T> T on(EventLoop eventLoop, Callable<T> task) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          try {
            result.complete(task.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(20, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    for (Node node : nodes) {
      if (node.agreedViews != null) {
        node.eventLoop.execute(node.agreedViews::close);
      }
      node.eventLoop.execute(node.endpoint::leave);
      node.eventLoop.execute(node.datagrams::shutDown);
    }
    proxies.forEach(LossyProxy::close);
  }
}
