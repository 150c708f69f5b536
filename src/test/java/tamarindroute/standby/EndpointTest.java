package tamarindroute.standby;

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
import tamarindroute.host.Clock;
import tamarindroute.net.Datagrams;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrp.Seal;

/** Two and three gateways' elections over UDP on loopback, each with a thread of its own. */
@Timeout(60)
class EndpointTest {

    /** Long enough that a busy machine's pauses take nobody for dead; an address is missed after 3.6 of it. */
    private static final Duration INTERVAL = Duration.ofMillis(100);
    private static final Map<Integer, byte[]> KEYS = Map.of(1, new byte[] {1, 2, 3, 4});

    /** One gateway: its thread, its endpoint, and what it did with the address. */
    private static final class Gateway {
        final Clock clock = new Clock();
        final Datagrams datagrams = new Datagrams(clock);
        final List<String> done = java.util.Collections.synchronizedList(new ArrayList<>());
        Endpoint endpoint;
        Endpoint.Router router;

        void start(InetSocketAddress own, List<InetSocketAddress> peers, int priority, Seal seal) throws Exception {
            onOwner(() -> {
                endpoint = new Endpoint(clock, datagrams, own, peers, seal, System.nanoTime());
                router = endpoint.add(9, priority, List.of(InetAddress.getByName("127.0.9.9")),
                        new Election.Settings(Endpoint.order(own), INTERVAL, true, Duration.ZERO), new Endpoint.Holder() {
                            @Override
                            public void take() {
                                done.add("take");
                            }

                            @Override
                            public void drop(Election.Why why) {
                                done.add("drop " + why);
                            }
                        });
                endpoint.start();
                return null;
            });
        }

        <T> T onOwner(java.util.concurrent.Callable<T> task) throws Exception {
            AtomicReference<T> result = new AtomicReference<>();
            AtomicReference<Exception> failed = new AtomicReference<>();
            CountDownLatch over = new CountDownLatch(1);
            clock.handOver(() -> {
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
            onOwner(() -> {
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

    private Gateway gateway(int place, int priority, Seal seal) throws Exception {
        Gateway gateway = new Gateway();
        gateways.add(gateway);
        List<InetSocketAddress> peers = new ArrayList<>(addresses);
        peers.remove(place);
        gateway.start(addresses.get(place), peers, priority, seal);
        return gateway;
    }

    private static Seal seal() {
        return new Seal(KEYS, 1);
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
        assertThat(nanos).as("a stop in order is not waited for").isLessThan(TimeUnit.MILLISECONDS.toNanos(290));
        assertThat(worst.active()).isFalse();
        assertThat(best.done).contains("take", "drop STOPPED");
    }

    @Test
    void aTieGoesToTheHigherAddressAndBothAreNeverActiveForLong() throws Exception {
        Gateway one = gateway(0, 100, seal());
        Gateway other = gateway(1, 100, seal());
        Gateway higher = Endpoint.order(addresses.get(0)) > Endpoint.order(addresses.get(1)) ? one : other;
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
        // The owner's thread stands still, as in a long collection; what it asks first when it goes on is the lease.
        boolean[] may = new boolean[2];
        CountDownLatch over = new CountDownLatch(1);
        first.clock.handOver(() -> {
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
        assertThat(first.done).contains("drop LEASE_OVER");
        await(() -> first.active() && !second.active());
    }

    @Test
    void strangersForgersAndReplaysChangeNothing() throws Exception {
        Gateway first = gateway(0, 100, seal());
        await(first::active);
        Random random = new Random(5);
        byte[] better = new tamarindroute.vrrp.Advertisement(9, 255, INTERVAL,
                List.of(InetAddress.getByName("127.0.9.9"))).write(addresses.get(1).getAddress(),
                addresses.get(0).getAddress());
        try (DatagramSocket peer = new DatagramSocket(addresses.get(1));
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 300; i++) {
                byte[] noise = new byte[random.nextInt(200)];
                random.nextBytes(noise);
                byte[] wrongKey = new Seal(Map.of(1, new byte[] {9}), 1).seal(better, 1, i);
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
        first.onOwner(() -> {
            first.router.priority(10);
            first.router.resign();
            return null;
        });
        await(() -> second.active() && !first.active());
        first.onOwner(() -> {
            first.router.priority(150);
            return null;
        });
        await(() -> first.active() && !second.active());
    }
}
