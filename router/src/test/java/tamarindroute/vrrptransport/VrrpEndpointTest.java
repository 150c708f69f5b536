package tamarindroute.vrrptransport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.host.EventLoop;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MessageAuthenticator;
import tamarindroute.vrrp.Election;

/** Two and three gateways' elections over UDP on loopback, each with a thread of its own. */
@Timeout(60)
class VrrpEndpointTest {

  /**
   * Long enough that a busy machine's pauses take nobody for dead; an address is missed after 3.6
   * of it.
   */
  private static final Duration INTERVAL = Duration.ofMillis(100);

  private static final Map<Integer, byte[]> KEYS = Map.of(1, new byte[] {1, 2, 3, 4});

  /** One gateway: its thread, its endpoint, and what it did with the address. */
  private static final class Gateway {
    final EventLoop eventLoop = new EventLoop();
    final DatagramTransport datagrams = new DatagramTransport(eventLoop);
    final List<String> done = java.util.Collections.synchronizedList(new ArrayList<>());
    VrrpEndpoint endpoint;
    VirtualRouter router;

    void start(
        InetSocketAddress own,
        List<InetSocketAddress> peers,
        int priority,
        MessageAuthenticator seal)
        throws Exception {
      onOwner(
          () -> {
            endpoint = new VrrpEndpoint(eventLoop, datagrams, own, peers, seal, System.nanoTime());
            router =
                endpoint.add(
                    9,
                    priority,
                    List.of(InetAddress.getByName("127.0.9.9")),
                    new Election.Settings(
                        VrrpEndpoint.tieBreaker(own), INTERVAL, true, Duration.ZERO),
                    new VrrpEndpoint.AddressHolder() {
                      @Override
                      public void onTaken() {
                        done.add("take");
                      }

                      @Override
                      public void onReleased(Election.ReleaseReason why) {
                        done.add("drop " + why);
                      }
                    });
            if (!voters.isEmpty()) {
              endpoint.requireVoters(voters, INTERVAL.multipliedBy(3));
            }
            endpoint.start();
            return null;
          });
    }

    List<InetSocketAddress> voters = List.of();

    <T> T onOwner(java.util.concurrent.Callable<T> task) throws Exception {
      AtomicReference<T> result = new AtomicReference<>();
      AtomicReference<Exception> failed = new AtomicReference<>();
      CountDownLatch over = new CountDownLatch(1);
      eventLoop.execute(
          () -> {
            try {
              result.set(task.call());
            } catch (Exception e) {
              failed.set(e);
            }
            over.countDown();
          });
      assertThat(over.await(20, TimeUnit.SECONDS)).isTrue();
      if (failed.get() != null) {
        throw failed.get();
      }
      return result.get();
    }

    boolean active() throws Exception {
      return onOwner(() -> router.mayAct());
    }

    void stop() throws Exception {
      onOwner(
          () -> {
            endpoint.stop();
            return null;
          });
    }
  }

  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();

  @BeforeEach
  void addresses() throws Exception {
    for (int i = 0; i < 3; i++) {
      try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
        addresses.add(new InetSocketAddress(free.getLocalAddress(), free.getLocalPort()));
      }
    }
  }

  @AfterEach
  void end() throws Exception {
    for (Gateway gateway : gateways) {
      gateway.datagrams.shutDown();
    }
  }

  private Gateway gateway(int place, int priority, MessageAuthenticator seal) throws Exception {
    Gateway gateway = new Gateway();
    gateways.add(gateway);
    List<InetSocketAddress> peers = new ArrayList<>(addresses);
    peers.remove(place);
    gateway.start(addresses.get(place), peers, priority, seal);
    return gateway;
  }

  /**
   * A gateway at the end of two ways that can be cut: to the other one and to the witness at place
   * 2.
   */
  private Gateway withWitness(int place, int priority, Cut peer, Cut witness) throws Exception {
    Gateway gateway = new Gateway();
    gateways.add(gateway);
    gateway.voters = List.of(peer.of(place), witness.of(place));
    gateway.start(addresses.get(place), List.of(peer.of(place)), priority, seal());
    return gateway;
  }

  /**
   * A way between two addresses that can be cut in each direction. Each end sees the other at an
   * address of the way's own, as through a router that translates.
   */
  private final class Cut implements AutoCloseable {
    final int one;
    final int other;
    final DatagramSocket atOne = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    final DatagramSocket atOther = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    volatile boolean fromOne = true;
    volatile boolean fromOther = true;

    Cut(int one, int other) throws java.io.IOException {
      this.one = one;
      this.other = other;
      carry(atOne, atOther, other, () -> fromOne);
      carry(atOther, atOne, one, () -> fromOther);
    }

    /** Where the gateway at this place finds the other end. */
    InetSocketAddress of(int place) {
      DatagramSocket socket = place == one ? atOne : atOther;
      return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }

    private void carry(
        DatagramSocket in, DatagramSocket out, int to, java.util.function.BooleanSupplier open) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  while (true) {
                    DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
                    in.receive(packet);
                    if (open.getAsBoolean()) {
                      out.send(
                          new DatagramPacket(
                              packet.getData(), packet.getLength(), addresses.get(to)));
                    }
                  }
                } catch (java.io.IOException e) {
                  // Closed by the test.
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    void cut() {
      fromOne = false;
      fromOther = false;
    }

    void mend() {
      fromOne = true;
      fromOther = true;
    }

    @Override
    public void close() {
      atOne.close();
      atOther.close();
    }
  }

  @Test
  void withAThirdVoterAPartitionLeavesOneActiveAndTheCutOffOneFindsOut() throws Exception {
    EventLoop eventLoop = new EventLoop();
    DatagramTransport datagrams = new DatagramTransport(eventLoop);
    try (Cut between = new Cut(0, 1);
        Cut first = new Cut(0, 2);
        Cut second = new Cut(1, 2)) {
      CountDownLatch listening = new CountDownLatch(1);
      eventLoop.execute(
          () -> {
            try {
              new Witness(
                      datagrams,
                      addresses.get(2),
                      List.of(first.of(2), second.of(2)),
                      java.util.Set.of(9),
                      INTERVAL.multipliedBy(3),
                      seal(),
                      System.nanoTime())
                  .start();
              listening.countDown();
            } catch (java.io.IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
          });
      assertThat(listening.await(5, TimeUnit.SECONDS)).isTrue();
      Gateway best = withWitness(0, 200, between, first);
      Gateway next = withWitness(1, 100, between, second);
      await(() -> best.active() && !next.active());
      // The two can't see each other, both see the witness: the one that has its word keeps the
      // address.
      between.cut();
      // Asked in this order: who begins later must not be seen beside who ended before.
      never(() -> next.active() && best.active(), 1500);
      assertThat(best.active()).isTrue();
      // Now the best one is alone: it stops to act by itself, and only then the other begins.
      first.cut();
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (!next.active()) {
        assertThat(System.nanoTime()).isLessThan(end);
      }
      assertThat(best.active()).isFalse();
      assertThat(best.done).contains("drop LEASE_EXPIRED");
      first.mend();
      between.mend();
      await(() -> best.active() && !next.active());
    } finally {
      datagrams.shutDown();
    }
  }

  private static void never(Condition condition, long millis) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      assertThat(condition.holds()).isFalse();
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private static MessageAuthenticator seal() {
    return new MessageAuthenticator(KEYS, 1);
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static long await(Condition condition) throws Exception {
    long from = System.nanoTime();
    while (!condition.holds()) {
      assertThat(System.nanoTime() - from).isLessThan(TimeUnit.SECONDS.toNanos(15));
      TimeUnit.MILLISECONDS.sleep(5);
    }
    return System.nanoTime() - from;
  }

  @Test
  void theBestOfThreeIsActiveAndTheNextTakesOverWhenItStopsInOrder() throws Exception {
    Gateway worst = gateway(0, 50, seal());
    Gateway middle = gateway(1, 100, seal());
    Gateway best = gateway(2, 200, seal());
    await(() -> best.active() && !middle.active() && !worst.active());
    best.stop();
    long nanos = await(middle::active);
    assertThat(nanos)
        .as("a stop in order is not waited for")
        .isLessThan(TimeUnit.MILLISECONDS.toNanos(290));
    assertThat(worst.active()).isFalse();
    assertThat(best.done).contains("take", "drop STOPPED");
  }

  @Test
  void aTieGoesToTheHigherAddressAndBothAreNeverActiveForLong() throws Exception {
    Gateway one = gateway(0, 100, seal());
    Gateway other = gateway(1, 100, seal());
    Gateway higher =
        VrrpEndpoint.tieBreaker(addresses.get(0)) > VrrpEndpoint.tieBreaker(addresses.get(1))
            ? one
            : other;
    Gateway lower = higher == one ? other : one;
    await(() -> one.active() || other.active());
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(one.active() ^ other.active()).isTrue();
    if (lower.active()) {
      // It was first, and a tie does not preempt.
      lower.stop();
    }
    await(higher::active);
  }

  @Test
  void aStoppedGatewayFindsOutBeforeItActsAndTheOtherHasTheAddress() throws Exception {
    Gateway first = gateway(0, 200, seal());
    Gateway second = gateway(1, 100, seal());
    await(first::active);
    // The owner's thread stands still, as in a long collection; what it asks first when it goes on
    // is the lease.
    boolean[] may = new boolean[2];
    CountDownLatch over = new CountDownLatch(1);
    first.eventLoop.execute(
        () -> {
          may[0] = first.router.mayAct();
          long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(900);
          while (System.nanoTime() < end) {
            java.util.concurrent.locks.LockSupport.parkNanos(end - System.nanoTime());
          }
          may[1] = first.router.mayAct();
          over.countDown();
        });
    await(second::active);
    assertThat(over.await(5, TimeUnit.SECONDS)).isTrue();
    assertThat(may).containsExactly(true, false);
    assertThat(first.done).contains("drop LEASE_EXPIRED");
    await(() -> first.active() && !second.active());
  }

  @Test
  void strangersForgersAndReplaysChangeNothing() throws Exception {
    Gateway first = gateway(0, 100, seal());
    await(first::active);
    Random random = new Random(5);
    byte[] better =
        new tamarindroute.vrrp.Advertisement(
                9, 255, INTERVAL, List.of(InetAddress.getByName("127.0.9.9")))
            .encode(addresses.get(1).getAddress(), addresses.get(0).getAddress());
    try (DatagramSocket peer = new DatagramSocket(addresses.get(1));
        DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      for (int i = 0; i < 300; i++) {
        byte[] noise = new byte[random.nextInt(200)];
        random.nextBytes(noise);
        byte[] wrongKey = new MessageAuthenticator(Map.of(1, new byte[] {9}), 1).seal(better, 1, i);
        for (byte[] bytes : new byte[][] {noise, better, wrongKey}) {
          peer.send(new DatagramPacket(bytes, bytes.length, addresses.get(0)));
        }
        byte[] sealed = seal().seal(better, 1, i);
        stranger.send(new DatagramPacket(sealed, sealed.length, addresses.get(0)));
      }
      TimeUnit.MILLISECONDS.sleep(200);
      assertThat(first.active()).isTrue();
      assertThat(first.done).containsExactly("take");
      byte[] good = seal().seal(better, 1, 7);
      peer.send(new DatagramPacket(good, good.length, addresses.get(0)));
      await(() -> !first.active());
      // The same again, from then on, keeps nobody down: it is heard once.
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (!first.active() && System.nanoTime() < until) {
        peer.send(new DatagramPacket(good, good.length, addresses.get(0)));
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertThat(first.active()).isTrue();
    }
  }

  @Test
  void resigningGivesTheAddressToTheNextAndABetterOneComesBack() throws Exception {
    Gateway first = gateway(0, 150, seal());
    Gateway second = gateway(1, 100, seal());
    await(first::active);
    first.onOwner(
        () -> {
          first.router.setPriority(10);
          first.router.resign();
          return null;
        });
    await(() -> second.active() && !first.active());
    first.onOwner(
        () -> {
          first.router.setPriority(150);
          return null;
        });
    await(() -> first.active() && !second.active());
  }
}
