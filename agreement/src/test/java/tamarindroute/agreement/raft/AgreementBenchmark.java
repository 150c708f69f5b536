package tamarindroute.agreement.raft;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.store.FileStorageMedium;
import tamarindroute.agreement.store.InMemoryStorageMedium;
import tamarindroute.agreement.store.StorageMedium;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Measures three voters on one thread of one process, on the real clock: time per command, memory
 * and loaded classes. Run by hand, not a test.
 */
final class AgreementBenchmark {

  private static final int COMMANDS = 2_000;

  private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
  private final long start = System.nanoTime();
  private final Map<Address, RaftVoter> voters = new HashMap<>();

  public static void main(String[] args) throws Exception {
    System.out.println("classes before: " + classes() + ", heap " + heap() + " KiB");
    for (int voters : new int[] {3, 5}) {
      failover(voters, 0);
      failover(voters, 20);
    }
    for (boolean file : new boolean[] {false, true}) {
      for (int run = 0; run < 3; run++) {
        new AgreementBenchmark().run(file);
      }
    }
  }

  /**
   * Measures, in virtual time, how long after the loss of its leader a group commits a command, and
   * how often the lease of a holder expires meanwhile.
   */
  private static void failover(int voters, int lossPercent) {
    long[] spans = new long[40];
    int expiredLeases = 0;
    for (int seed = 0; seed < spans.length; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, voters);
      cluster.awaitLeader();
      cluster.lossPercent = lossPercent;
      cluster.node(voters).holdView(cluster.configuredVoters());
      cluster.run(Duration.ofSeconds(20 + cluster.randomBelow(5)));
      int refused = cluster.refusedActCount;
      SimulatedNode oldLeader = cluster.awaitLeader();
      long number = oldLeader.voter.localView().number();
      long from = cluster.nowMicros;
      oldLeader.kill();
      List<Boolean> committed = new ArrayList<>();
      while (committed.isEmpty() && cluster.nowMicros < from + 120_000_000L) {
        cluster
            .leader()
            .ifPresent(
                leader ->
                    leader.voter.propose(
                        new Command.Put("k", number, "t", new byte[9]),
                        result -> {
                          // A rejection shows that an earlier proposal was committed.
                          if (result.status() == ProposalStatus.COMMITTED
                              || result.status() == ProposalStatus.REJECTED) {
                            committed.add(true);
                          }
                        }));
        cluster.run(Duration.ofMillis(50));
      }
      spans[seed] = (cluster.nowMicros - from) / 1_000;
      cluster.run(Duration.ofSeconds(10));
      expiredLeases += cluster.refusedActCount > refused ? 1 : 0;
    }
    Arrays.sort(spans);
    System.out.println(
        voters
            + " voters, "
            + lossPercent
            + "% loss: committed again after "
            + spans[20]
            + " ms ("
            + spans[0]
            + " to "
            + spans[39]
            + "), lease expired in "
            + expiredLeases
            + " of 40");
  }

  private static int classes() {
    return ManagementFactory.getClassLoadingMXBean().getLoadedClassCount();
  }

  private static long heap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1024;
  }

  private void run(boolean file) throws Exception {
    Path directory = Files.createTempDirectory("agreement");
    List<Address> configuredVoters =
        IntStream.range(0, 3).mapToObj(i -> new Address("10.0.0." + i, 1)).toList();
    for (Address address : configuredVoters) {
      StorageMedium medium =
          file
              ? new FileStorageMedium(directory.resolve(address.host()))
              : new InMemoryStorageMedium();
      thread.submit(() -> open(address, configuredVoters, medium)).get();
    }
    while (thread
        .submit(
            () ->
                voters.values().stream()
                    .noneMatch(one -> one.status().isLeader() && one.localView().number() > 0))
        .get()) {
      Thread.sleep(20);
    }
    RaftVoter leader =
        voters.values().stream().filter(one -> one.status().isLeader()).findFirst().orElseThrow();
    System.out.println("three voters: classes " + classes() + ", heap " + heap() + " KiB");
    long[] spans = new long[COMMANDS];
    for (int i = 0; i < COMMANDS; i++) {
      CountDownLatch done = new CountDownLatch(1);
      long from = System.nanoTime();
      String key = "k" + i % 500;
      thread.execute(
          () ->
              leader.propose(
                  new Command.Put(key, leader.localView().baseNumber(key), "t", new byte[200]),
                  result -> {
                    if (result.status() == ProposalStatus.COMMITTED) {
                      done.countDown();
                    }
                  }));
      if (!done.await(10, TimeUnit.SECONDS)) {
        throw new IllegalStateException("not committed in time");
      }
      spans[i] = System.nanoTime() - from;
    }
    Arrays.sort(spans);
    System.out.println(
        (file ? "files" : "memory")
            + ": sequentially, median "
            + spans[COMMANDS / 2] / 1000
            + " us, 99th percentile "
            + spans[COMMANDS * 99 / 100] / 1000
            + " us; "
            + commandsPerSecond(leader)
            + " commands per second with 64 pending; heap afterwards "
            + heap()
            + " KiB");
    voters.values().forEach(RaftVoter::close);
    thread.shutdownNow();
    try (var files = Files.list(directory)) {
      for (Path one : new ArrayList<>(files.toList())) {
        Files.delete(one);
      }
    }
    Files.delete(directory);
  }

  private long commandsPerSecond(RaftVoter leader) throws Exception {
    CountDownLatch done = new CountDownLatch(COMMANDS);
    long from = System.nanoTime();
    thread.execute(
        () -> {
          for (int i = 0; i < 64; i++) {
            proposeRepeatedly(leader, "m" + i, done);
          }
        });
    if (!done.await(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("not committed in time");
    }
    return COMMANDS * 1_000_000_000L / (System.nanoTime() - from);
  }

  private void proposeRepeatedly(RaftVoter leader, String key, CountDownLatch done) {
    leader.propose(
        new Command.Put(key, leader.localView().baseNumber(key), "t", new byte[200]),
        result -> {
          done.countDown();
          if (done.getCount() > 0) {
            thread.execute(() -> proposeRepeatedly(leader, key, done));
          }
        });
  }

  private RaftVoter open(Address self, List<Address> configuredVoters, StorageMedium medium)
      throws IOException {
    EventLoop eventLoop =
        new EventLoop() {
          @Override
          public void execute(Runnable task) {
            if (!thread.isShutdown()) {
              thread.execute(task);
            }
          }

          @Override
          public void schedule(Runnable task, Duration after) {
            if (!thread.isShutdown()) {
              thread.schedule(task, after.toNanos(), TimeUnit.NANOSECONDS);
            }
          }

          @Override
          public Duration now() {
            return Duration.ofNanos(System.nanoTime() - start);
          }
        };
    VoterTransport transport =
        (to, message) ->
            eventLoop.execute(
                () -> {
                  if (voters.containsKey(to)) {
                    voters.get(to).onMessage(self, message);
                  }
                });
    RaftVoter voter =
        RaftVoter.open(
            eventLoop, transport, medium, new Member(self, 1), configuredVoters, state -> {});
    voters.put(self, voter);
    return voter;
  }
}
