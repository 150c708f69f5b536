package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tamarindroute.members.wire.Envelopes;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Timers;

/** The feed's news among many, over a network of this test that loses and reorders by a seed. */
class FeedNewsTest {

  private final List<Node> nodes = new ArrayList<>();
  private final ArrayDeque<Runnable> way = new ArrayDeque<>();
  private final Random random = new Random(28);
  private int lostInHundred;
  private int sent;

  /** One follower of the feed: what it took, in order. */
  private final class Node implements FeedNews.Reader, FeedNews.Others, Timers {
    final Member self = new Member(new Address("127.0.0.1", 1 + nodes.size()), 1);
    final List<String> taken = new ArrayList<>();
    final List<Runnable> later = new ArrayList<>();
    final FeedNews news = new FeedNews(self.address(), this, this, this);

    void fed(String... events) {
      taken.addAll(List.of(events));
      news.read("{\"n\":" + taken.size() + ",\"events\":[" + String.join(",", events) + "]}");
    }

    @Override
    public long last() {
      return taken.size();
    }

    @Override
    public boolean told(long number, String event) {
      return number == taken.size() + 1 && taken.add(event);
    }

    @Override
    public List<Member> alive() {
      return new ArrayList<>(
          nodes.stream().filter(node -> node != this).map(node -> node.self).toList());
    }

    @Override
    public void send(Member to, Letter.Body body) {
      sent++;
      assertThat(Envelopes.write(Letter.of(self, 1, body)).length)
          .isLessThanOrEqualTo(Envelopes.LARGEST);
      if (random.nextInt(100) >= lostInHundred) {
        Runnable arrives =
            () -> nodes.get(to.address().port() - 1).news.taken(self, (Letter.News) body);
        if (random.nextBoolean()) {
          way.addFirst(arrives);
        } else {
          way.addLast(arrives);
        }
      }
    }

    @Override
    public Duration now() {
      return Duration.ZERO;
    }

    @Override
    public void handOver(Runnable task) {
      task.run();
    }

    @Override
    public Runnable after(Duration span, Runnable task) {
      later.add(task);
      return () -> later.remove(task);
    }
  }

  private static String event(int number, String what) {
    return "{\"n\":" + number + ",\"purge\":{\"key\":\"" + what + "\"}}";
  }

  private void nodes(int many) {
    for (int i = 0; i < many; i++) {
      nodes.add(new Node());
      nodes.get(i).fed(event(1, "first"));
      nodes.get(i).news.start();
    }
    arrive();
  }

  private void arrive() {
    int most = 100_000;
    while (!way.isEmpty()) {
      assertThat(most--).as("it comes to rest").isPositive();
      way.poll().run();
    }
  }

  private void period() {
    for (Node node : nodes) {
      List<Runnable> due = List.copyOf(node.later);
      node.later.clear();
      due.forEach(Runnable::run);
    }
    arrive();
  }

  /** The bound is 500 ms: five periods. */
  @Test
  void whatOneFeedTellsAllKnowWithinFivePeriodsThoughThreeInTenAreLost() {
    lostInHundred = 30;
    nodes(200);
    for (int each = 2; each <= 20; each++) {
      int number = each;
      nodes
          .get(number)
          .fed(
              IntStream.rangeClosed(nodes.get(number).taken.size() + 1, number)
                  .mapToObj(n -> event(n, "a" + n))
                  .toArray(String[]::new));
      arrive();
      for (int i = 0; i < 5; i++) {
        period();
      }
      assertThat(nodes.stream().filter(node -> node.taken.size() < number).count())
          .as("lack event " + number)
          .isZero();
    }
    assertThat(nodes).extracting(node -> node.taken).containsOnly(nodes.get(0).taken);
  }

  @Test
  void anotherHistoryIsNotMixedInAndNobodyAsksWithoutEnd() {
    nodes(2);
    nodes.get(0).fed(event(2, "a"), event(3, "b"));
    arrive();
    assertThat(nodes.get(1).taken).hasSize(3);
    nodes.add(new Node());
    nodes.get(2).fed(event(1, "another"));
    nodes.get(2).news.start();
    arrive();
    int before = sent;
    for (int i = 0; i < 10; i++) {
      period();
    }
    assertThat(nodes.get(2).taken).hasSize(1);
    // Three ask each period, and each has an answer and what comes of it.
    assertThat(sent - before).isLessThanOrEqualTo(10 * 3 * 3);
  }

  @Test
  void whatWasKeptOfOldNumbersIsNotPassedOnOnceTheFeedCountsAnew() {
    nodes(2);
    nodes.get(0).fed(event(2, "a"), event(3, "b"));
    way.clear();
    nodes.get(0).taken.clear();
    nodes.get(0).fed(event(1, "first"), event(2, "c"));
    arrive();
    period();
    assertThat(nodes.get(1).taken).containsExactly(event(1, "first"), event(2, "c"));
  }

  @Test
  void anEventThatHasNoRoomIsLeftToTheFeedAndWhatFollowsGoesOnFromIt() {
    nodes(2);
    String list = event(2, "x".repeat(FeedNews.LONGEST));
    nodes.get(0).fed(list);
    nodes.get(0).fed(event(3, "a"));
    period();
    assertThat(nodes.get(1).taken).hasSize(1);
    nodes.get(1).fed(list);
    period();
    assertThat(nodes.get(1).taken).hasSize(3);
  }
}
