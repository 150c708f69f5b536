package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessageCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;

/** Replication among many members over a simulated network that loses and reorders messages. */
class FeedEventReplicatorTest {

  private final List<Node> nodes = new ArrayList<>();
  private final ArrayDeque<Runnable> inFlight = new ArrayDeque<>();
  private final Random random = new Random(28);
  private int lossPercent;
  private int sent;

  /** One member with the events that it applied, in their order. */
  private final class Node
      implements FeedEventReplicator.FeedFollower, FeedEventReplicator.Peers, Scheduler {
    final Member self = new Member(new Address("127.0.0.1", 1 + nodes.size()), 1);
    final List<String> applied = new ArrayList<>();
    final List<Runnable> scheduled = new ArrayList<>();
    final FeedEventReplicator feedReplicator =
        new FeedEventReplicator(self.address(), this, this, this);

    void onFeed(String... events) {
      applied.addAll(List.of(events));
      feedReplicator.onFeedText(
          "{\"n\":" + applied.size() + ",\"events\":[" + String.join(",", events) + "]}");
    }

    @Override
    public long lastNumber() {
      return applied.size();
    }

    @Override
    public boolean apply(long number, String event) {
      return number == applied.size() + 1 && applied.add(event);
    }

    @Override
    public List<Member> liveOthers() {
      return new ArrayList<>(
          nodes.stream().filter(node -> node != this).map(node -> node.self).toList());
    }

    @Override
    public void send(Member to, MemberMessage.Payload payload) {
      sent++;
      assertThat(MemberMessageCodec.encode(MemberMessage.of(self, 1, payload)).length)
          .isLessThanOrEqualTo(MemberMessageCodec.MAX_MESSAGE_BYTES);
      if (random.nextInt(100) >= lossPercent) {
        Runnable delivery =
            () ->
                nodes
                    .get(to.address().port() - 1)
                    .feedReplicator
                    .onFeedEvents(self, (MemberMessage.FeedEventsPayload) payload);
        if (random.nextBoolean()) {
          inFlight.addFirst(delivery);
        } else {
          inFlight.addLast(delivery);
        }
      }
    }

    @Override
    public Duration now() {
      return Duration.ZERO;
    }

    @Override
    public void execute(Runnable task) {
      task.run();
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
      scheduled.add(task);
      return () -> scheduled.remove(task);
    }
  }

  private static String event(int number, String key) {
    return "{\"n\":" + number + ",\"purge\":{\"key\":\"" + key + "\"}}";
  }

  private void startNodes(int count) {
    for (int i = 0; i < count; i++) {
      nodes.add(new Node());
      nodes.get(i).onFeed(event(1, "first"));
      nodes.get(i).feedReplicator.poll();
    }
    deliverAll();
  }

  private void deliverAll() {
    int remaining = 100_000;
    while (!inFlight.isEmpty()) {
      assertThat(remaining).as("messages end").isPositive();
      remaining--;
      inFlight.poll().run();
    }
  }

  private void runPeriod() {
    for (Node node : nodes) {
      List<Runnable> due = List.copyOf(node.scheduled);
      node.scheduled.clear();
      due.forEach(Runnable::run);
    }
    deliverAll();
  }

  /** The bound is 500 ms: five periods. */
  @Test
  void eventOfOneFeedReachesAllWithinFivePeriodsAtThirtyPercentLoss() {
    lossPercent = 30;
    startNodes(200);
    for (int each = 2; each <= 20; each++) {
      int number = each;
      nodes
          .get(number)
          .onFeed(
              IntStream.rangeClosed(nodes.get(number).applied.size() + 1, number)
                  .mapToObj(n -> event(n, "a" + n))
                  .toArray(String[]::new));
      deliverAll();
      for (int i = 0; i < 5; i++) {
        runPeriod();
      }
      assertThat(nodes.stream().filter(node -> node.applied.size() < number).count())
          .as("members without event " + number)
          .isZero();
    }
    assertThat(nodes).extracting(node -> node.applied).containsOnly(nodes.get(0).applied);
  }

  @Test
  void differentHistoryIsNotMixedInAndRequestsEnd() {
    startNodes(2);
    nodes.get(0).onFeed(event(2, "a"), event(3, "b"));
    deliverAll();
    assertThat(nodes.get(1).applied).hasSize(3);
    nodes.add(new Node());
    nodes.get(2).onFeed(event(1, "another"));
    nodes.get(2).feedReplicator.poll();
    deliverAll();
    int before = sent;
    for (int i = 0; i < 10; i++) {
      runPeriod();
    }
    assertThat(nodes.get(2).applied).hasSize(1);
    // Three members poll in each period; each poll may cause an answer and one more message.
    assertThat(sent - before).isLessThanOrEqualTo(10 * 3 * 3);
  }

  @Test
  void storedEventsAreDroppedWhenTheFeedRestartsItsNumbers() {
    startNodes(2);
    nodes.get(0).onFeed(event(2, "a"), event(3, "b"));
    inFlight.clear();
    nodes.get(0).applied.clear();
    nodes.get(0).onFeed(event(1, "first"), event(2, "c"));
    deliverAll();
    runPeriod();
    assertThat(nodes.get(1).applied).containsExactly(event(1, "first"), event(2, "c"));
  }

  @Test
  void oversizedEventIsLeftToTheFeedAndLaterEventsFollowIt() {
    startNodes(2);
    String list = event(2, "x".repeat(FeedEventStore.MAX_EVENT_BYTES));
    nodes.get(0).onFeed(list);
    nodes.get(0).onFeed(event(3, "a"));
    runPeriod();
    assertThat(nodes.get(1).applied).hasSize(1);
    nodes.get(1).onFeed(list);
    runPeriod();
    assertThat(nodes.get(1).applied).hasSize(3);
  }
}
