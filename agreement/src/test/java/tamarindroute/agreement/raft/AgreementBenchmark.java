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
 * Three voters on one thread of one process, by the real clock: what a command costs, and what they
 * hold. No test.
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
      for (int play = 0; play < 3; play++) {
        new AgreementBenchmark().play(file);
      }
    }
  }

  /**
   * In virtual time: from the leader's death until a command is agreed under another, and whether a
   * holder notices.
   */
  private static void failover(int voters, int loss) {
    long[] spans = new long[40];
    int outOfTouch = 0;
    for (int seed = 0; seed < spans.length; seed++) {
      SimulatedCluster world = new SimulatedCluster(seed, voters);
      world.awaitLeader();
      world.lossPercent = loss;
      world.node(voters).holdView(world.configuredVoters());
      world.run(Duration.ofSeconds(20 + world.randomBelow(5)));
      int refused = world.refusedActCount;
      SimulatedCluster.Node old = world.awaitLeader();
      long number = old.voter.localView().number();
      long from = world.nowMicros;
      old.kill();
      List<Boolean> agreed = new ArrayList<>();
      while (agreed.isEmpty() && world.nowMicros < from + 120_000_000L) {
        world
            .leader()
            .ifPresent(
                leader ->
                    leader.voter.propose(
                        new Command.Put("k", number, "t", new byte[9]),
                        outcome -> {
                          // Refused: one of these that was not heard of was agreed.
                          if (outcome.status() == ProposalStatus.COMMITTED
                              || outcome.status() == ProposalStatus.REJECTED) {
                            agreed.add(true);
                          }
                        }));
        world.run(Duration.ofMillis(50));
      }
      spans[seed] = (world.nowMicros - from) / 1_000;
      world.run(Duration.ofSeconds(10));
      outOfTouch += world.refusedActCount > refused ? 1 : 0;
    }
    Arrays.sort(spans);
    System.out.println(
        voters
            + " voters, "
            + loss
            + "% lost: agreed again after "
            + spans[20]
            + " ms ("
            + spans[0]
            + " to "
            + spans[39]
            + "), holder out of touch in "
            + outOfTouch
            + " of 40");
  }

  private static int classes() {
    return ManagementFactory.getClassLoadingMXBean().getLoadedClassCount();
  }

  private static long heap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1024;
  }

  private void play(boolean file) throws Exception {
    Path directory = Files.createTempDirectory("agreement");
    List<Address> told =
        IntStream.range(0, 3).mapToObj(i -> new Address("10.0.0." + i, 1)).toList();
    for (Address one : told) {
      StorageMedium medium =
          file ? new FileStorageMedium(directory.resolve(one.host())) : new InMemoryStorageMedium();
      thread.submit(() -> open(one, told, medium)).get();
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
                  outcome -> {
                    if (outcome.status() == ProposalStatus.COMMITTED) {
                      done.countDown();
                    }
                  }));
      if (!done.await(10, TimeUnit.SECONDS)) {
        throw new IllegalStateException("not agreed");
      }
      spans[i] = System.nanoTime() - from;
    }
    Arrays.sort(spans);
    System.out.println(
        (file ? "files" : "memory")
            + ": one after the other, median "
            + spans[COMMANDS / 2] / 1000
            + " us, 99 of 100 within "
            + spans[COMMANDS * 99 / 100] / 1000
            + " us; "
            + together(leader)
            + " a second with 64 under way; heap after "
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

  private long together(RaftVoter leader) throws Exception {
    CountDownLatch done = new CountDownLatch(COMMANDS);
    long from = System.nanoTime();
    thread.execute(
        () -> {
          for (int i = 0; i < 64; i++) {
            next(leader, "m" + i, done);
          }
        });
    if (!done.await(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("not agreed");
    }
    return COMMANDS * 1_000_000_000L / (System.nanoTime() - from);
  }

  private void next(RaftVoter leader, String key, CountDownLatch done) {
    leader.propose(
        new Command.Put(key, leader.localView().baseNumber(key), "t", new byte[200]),
        outcome -> {
          done.countDown();
          if (done.getCount() > 0) {
            thread.execute(() -> next(leader, key, done));
          }
        });
  }

  private RaftVoter open(Address self, List<Address> told, StorageMedium medium)
      throws IOException {
    EventLoop owner =
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
    VoterTransport post =
        (to, message) ->
            owner.execute(
                () -> {
                  if (voters.containsKey(to)) {
                    voters.get(to).onMessage(self, message);
                  }
                });
    RaftVoter voter = RaftVoter.open(owner, post, medium, new Member(self, 1), told, state -> {});
    voters.put(self, voter);
    return voter;
  }
}
