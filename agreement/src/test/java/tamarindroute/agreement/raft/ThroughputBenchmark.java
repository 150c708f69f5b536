package tamarindroute.agreement.raft;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.store.FileStorageMedium;
import tamarindroute.agreement.store.InMemoryStorageMedium;
import tamarindroute.agreement.store.StorageMedium;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Measures latency and rate of commands with three voters on one thread, on the real clock. */
final class ThroughputBenchmark {

  private static final int COMMANDS = 2_000;

  /** Number of keys that the sequential commands use in turn. */
  private static final int KEYS = 500;

  /** Number of commands that are proposed concurrently when the rate is measured. */
  private static final int CONCURRENT_COMMANDS = 64;

  private static final int VALUE_BYTES = 200;

  private final boolean onFiles;
  private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
  private final long startNanos = System.nanoTime();
  private final Map<Address, RaftVoter> voters = new HashMap<>();

  ThroughputBenchmark(boolean onFiles) {
    this.onFiles = onFiles;
  }

  void run() throws Exception {
    Path directory = Files.createTempDirectory("agreement");
    try {
      openVoters(directory);
      RaftVoter leader = awaitLeader();
      System.out.println(
          "three voters: classes "
              + AgreementBenchmark.classes()
              + ", heap "
              + AgreementBenchmark.heapKib()
              + " KiB");
      long[] micros = sequentialMicros(leader);
      long perSecond = commandsPerSecond(leader);
      System.out.printf(
          "%s: sequentially, median %d us, 99th percentile %d us;"
              + " %d commands per second with %d pending; heap afterwards %d KiB%n",
          onFiles ? "files" : "memory",
          micros[COMMANDS / 2],
          micros[COMMANDS * 99 / 100],
          perSecond,
          CONCURRENT_COMMANDS,
          AgreementBenchmark.heapKib());
      voters.values().forEach(RaftVoter::close);
    } finally {
      thread.shutdownNow();
      delete(directory);
    }
  }

  private void openVoters(Path directory) throws Exception {
    List<Address> addresses =
        IntStream.range(0, 3).mapToObj(i -> new Address("10.0.0." + i, 1)).toList();
    for (Address address : addresses) {
      StorageMedium medium =
          onFiles
              ? new FileStorageMedium(directory.resolve(address.host()))
              : new InMemoryStorageMedium();
      thread.submit(() -> open(address, addresses, medium)).get();
    }
  }

  private RaftVoter open(Address self, List<Address> configuredVoters, StorageMedium medium)
      throws IOException {
    EventLoop eventLoop = new ExecutorEventLoop();
    VoterTransport transport = (to, message) -> eventLoop.execute(() -> deliver(self, to, message));
    RaftVoter voter =
        RaftVoter.open(
            eventLoop, transport, medium, new Member(self, 1), configuredVoters, status -> {});
    voters.put(self, voter);
    return voter;
  }

  private void deliver(Address from, Address to, byte[] message) {
    if (voters.containsKey(to)) {
      voters.get(to).onMessage(from, message);
    }
  }

  private RaftVoter awaitLeader() throws Exception {
    while (true) {
      List<RaftVoter> leaders =
          thread
              .submit(
                  () ->
                      voters.values().stream()
                          .filter(voter -> voter.status().isLeader())
                          .filter(voter -> voter.localView().number() > 0)
                          .toList())
              .get();
      if (!leaders.isEmpty()) {
        return leaders.get(0);
      }
      Thread.sleep(20);
    }
  }

  /** Returns the sorted latencies of commands that are proposed one after the other. */
  private long[] sequentialMicros(RaftVoter leader) throws InterruptedException {
    long[] micros = new long[COMMANDS];
    for (int i = 0; i < COMMANDS; i++) {
      String key = "k" + i % KEYS;
      CountDownLatch committed = new CountDownLatch(1);
      long start = System.nanoTime();
      thread.execute(
          () ->
              leader.propose(
                  put(leader, key),
                  result -> {
                    if (result.status() == ProposalStatus.COMMITTED) {
                      committed.countDown();
                    }
                  }));
      await(committed, 10);
      micros[i] = (System.nanoTime() - start) / 1_000;
    }
    Arrays.sort(micros);
    return micros;
  }

  private long commandsPerSecond(RaftVoter leader) throws InterruptedException {
    CountDownLatch remaining = new CountDownLatch(COMMANDS);
    long start = System.nanoTime();
    thread.execute(
        () -> {
          for (int i = 0; i < CONCURRENT_COMMANDS; i++) {
            proposeRepeatedly(leader, "m" + i, remaining);
          }
        });
    await(remaining, 60);
    return COMMANDS * 1_000_000_000L / (System.nanoTime() - start);
  }

  private void proposeRepeatedly(RaftVoter leader, String key, CountDownLatch remaining) {
    leader.propose(
        put(leader, key),
        result -> {
          remaining.countDown();
          if (remaining.getCount() > 0) {
            thread.execute(() -> proposeRepeatedly(leader, key, remaining));
          }
        });
  }

  private static Command put(RaftVoter leader, String key) {
    long baseNumber = leader.localView().baseNumber(key);
    return new Command.Put(key, baseNumber, "t", new byte[VALUE_BYTES]);
  }

  private static void await(CountDownLatch latch, int seconds) throws InterruptedException {
    if (!latch.await(seconds, TimeUnit.SECONDS)) {
      throw new IllegalStateException("commands not committed within " + seconds + " s");
    }
  }

  private static void delete(Path directory) throws IOException {
    List<Path> files;
    try (Stream<Path> listed = Files.list(directory)) {
      files = listed.toList();
    }
    for (Path file : files) {
      Files.delete(file);
    }
    Files.delete(directory);
  }

  /** The benchmark's thread as an event loop, until it is shut down. */
  private final class ExecutorEventLoop implements EventLoop {

    @Override
    public void execute(Runnable task) {
      if (!thread.isShutdown()) {
        thread.execute(task);
      }
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored")
    public void schedule(Runnable task, Duration delay) {
      if (!thread.isShutdown()) {
        thread.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public Duration now() {
      return Duration.ofNanos(System.nanoTime() - startNanos);
    }
  }
}
