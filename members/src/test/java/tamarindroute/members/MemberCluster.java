package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
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

/** Members in one process, each with an event loop and a socket of its own. */
final class MemberCluster implements AutoCloseable {

  static final byte[] KEY = new byte[32];

  /** Tolerates the pauses of a busy machine. */
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

  /** One member, and the states that it reported of the others. */
  final class Node implements MembershipEndpoint.Listener {
    final EventLoop eventLoop = new EventLoop();
    final DatagramTransport datagrams = new DatagramTransport(eventLoop);
    final Map<Address, List<MemberState>> reportedStates =
        Collections.synchronizedMap(new HashMap<>());
    final MembershipEndpoint endpoint;
    AgreedViewService agreedViews;

    Node(MemberConfiguration configuration, long wallMillis, Path voterStore) throws Exception {
      endpoint =
          on(
              eventLoop,
              () -> new MembershipEndpoint(eventLoop, datagrams, configuration, wallMillis, this));
      run(
          eventLoop,
          () -> {
            endpoint.start();
            if (!configuration.voters().isEmpty()) {
              startAgreedViews(configuration, voterStore);
            }
          });
    }

    private void startAgreedViews(MemberConfiguration configuration, Path voterStore)
        throws IOException {
      agreedViews =
          new AgreedViewService(
              eventLoop,
              configuration.advertisedAddress(),
              configuration.voters(),
              voterStore,
              new EndpointTransport(endpoint));
      agreedViews.tick();
    }

    @Override
    public void onStateChanged(Member member, MemberState state) {
      reportedStates
          .computeIfAbsent(
              member.address(), address -> Collections.synchronizedList(new ArrayList<>()))
          .add(state);
    }

    @Override
    public void onAgreementMessage(Member from, byte[] bytes) {
      if (agreedViews != null) {
        agreedViews.onPayload(from, bytes);
      }
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
      run(eventLoop, endpoint::leave);
    }

    /** Closes the socket without a word. */
    void kill() throws Exception {
      datagrams.shutDown();
      if (agreedViews != null) {
        run(eventLoop, agreedViews::close);
      }
      leave();
      nodes.remove(this);
    }
  }

  final List<InetSocketAddress> addresses = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  private final List<LossyProxy> proxies = new ArrayList<>();

  /** How many of the first members vote. */
  int voters;

  /** Folder of the voters' stores; null without voters. */
  Path folder;

  MemberCluster(int size) throws IOException {
    List<DatagramSocket> reserved = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      reserved.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      addresses.add(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), reserved.get(i).getLocalPort()));
    }
    reserved.forEach(DatagramSocket::close);
  }

  Node start(
      int index, long wallMillis, byte[] key, Map<Address, InetSocketAddress> addressOverrides)
      throws Exception {
    Address self = MemberConfiguration.toAddress(addresses.get(index));
    List<Address> seeds = new ArrayList<>(firstAddresses(Math.min(2, addresses.size())));
    seeds.remove(self);
    Node node =
        new Node(
            new MemberConfiguration(
                addresses.get(index),
                self,
                null,
                new MessageAuthenticator(Map.of(1, key), 1),
                seeds,
                firstAddresses(voters),
                addressOverrides,
                FAST_SETTINGS),
            wallMillis,
            folder == null ? null : folder.resolve(index + ".agreed"));
    nodes.add(node);
    return node;
  }

  /** The advertised addresses of the first members. */
  List<Address> firstAddresses(int count) {
    return addresses.subList(0, count).stream().map(MemberConfiguration::toAddress).toList();
  }

  /** A proxy in front of a member, closed with the cluster. */
  LossyProxy newProxy(int index) throws IOException {
    LossyProxy proxy = new LossyProxy(addresses.get(index), proxies.size());
    proxies.add(proxy);
    return proxy;
  }

  Node start(int index) throws Exception {
    return start(index, 1_000, KEY, Map.of());
  }

  /** Waits until each member regards all others as alive and itself as connected. */
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

  /** A task that may throw. */
  interface Task {
    void run() throws Exception;
  }

  /** Runs a task on an event loop and waits for it. */
  static void run(EventLoop eventLoop, Task task) throws Exception {
    on(
        eventLoop,
        () -> {
          task.run();
          return null;
        });
  }

  /** Runs a task on an event loop and returns its result. */
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
