package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import tamarindroute.protocol.Fields;

/** Connecting through MINA, which keeps threads and one allocator for the whole process. */
class ConnectTest {

    /** Handed-over tasks and timers on one thread. */
    private static final class Owner implements Timers {

        private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();

        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime());
        }

        @Override
        public void handOver(Runnable task) {
            thread.execute(task);
        }

        @Override
        public Runnable after(Duration span, Runnable task) {
            var timer = thread.schedule(task, span.toNanos(), TimeUnit.NANOSECONDS);
            return () -> timer.cancel(false);
        }
    }

    /** Counts what comes up; a connection given up while it was coming up must not cost a later one. */
    private record Counting(CountDownLatch up) implements Peer {

        @Override
        public void opened() {
            up.countDown();
        }

        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void ended(Ending ending) { }
    }

    /** The address of a cache that is gone may be another's by the time that the connection comes up. */
    @Test
    void whatWaitedForAConnectionToACacheThatIsGoneIsNotSent() throws Exception {
        Owner owner = new Owner();
        Sockets sockets = new Sockets(owner, new Pool(64L * 1024 * 1024), 1024);
        try (ServerSocket server = new ServerSocket(0, 200)) {
            CacheLine line = new CacheLine(sockets, owner, "s",
                    new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                    new CacheLine.Limits(4, 100, Duration.ofSeconds(2), Duration.ZERO));
            CompletableFuture<Boolean> written = new CompletableFuture<>();
            owner.thread.submit(() -> {
                line.ask("1", "-", List.of(), 0, new Asked() {
                    @Override
                    public void answered(String word, Fields fields, int length) { }

                    @Override
                    public void body(ByteBuffer part, Connection from) { }

                    @Override
                    public void whole() { }

                    @Override
                    public void ended(Ending ending, boolean whole) {
                        written.complete(whole);
                    }
                });
                line.letGo();
            }).get();
            assertThat(written.get(2, TimeUnit.SECONDS)).isFalse();
            assertThat(server.accept().getInputStream().read()).isEqualTo(-1);
        } finally {
            sockets.shutDown();
            owner.thread.shutdownNow();
        }
    }

    @Test
    void connectionsComeUpAfterOthersWereGivenUpWhileComingUp() throws Exception {
        Owner owner = new Owner();
        Sockets sockets = new Sockets(owner, new Pool(64L * 1024 * 1024), 1024);
        try (ServerSocket server = new ServerSocket(0, 200)) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
            for (int round = 0; round < 20; round++) {
                CountDownLatch up = new CountDownLatch(3);
                owner.thread.submit(() -> {
                    for (int i = 0; i < 3; i++) {
                        sockets.connect(address, new Counting(new CountDownLatch(1))).close(Ending.LET_GO, false);
                        sockets.connect(address, new Counting(up));
                    }
                }).get();
                assertThat(up.await(2, TimeUnit.SECONDS)).as("round " + round).isTrue();
            }
        } finally {
            sockets.shutDown();
            owner.thread.shutdownNow();
        }
    }
}
