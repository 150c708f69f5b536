package tamarindroute.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** The account of what answers bring, against a list of all of them. */
class HandedOutLoadTest {

  private record Given(Object address, double load, Duration until) {}

  @Property(seed = "4711", tries = 200)
  void loadIsNeverForgottenEarlyAndOverstatedForAShortTimeOnly(
      @ForAll @LongRange(max = 1_000_000) long seed,
      @ForAll @IntRange(min = 1, max = 3600) int longest) {
    Random random = new Random(seed);
    HandedOutLoad handedOutLoad = new HandedOutLoad(Duration.ofSeconds(longest));
    List<Given> all = new ArrayList<>();
    Duration now = Duration.ofMillis(random.nextInt(100_000));
    Duration slack = Duration.ofSeconds(longest).dividedBy(128).plusNanos(100);
    for (int step = 0; step < 200; step++) {
      now = now.plusMillis(random.nextInt(longest * 40 + 1));
      Object address = "a" + random.nextInt(3);
      Duration life = Duration.ofMillis((long) (random.nextDouble() * longest * 1000));
      double load = 1 + random.nextInt(3);
      assertThat(handedOutLoad.add(address, load, life, now)).isTrue();
      all.add(new Given(address, load, now.plus(life)));
      Duration at = now;
      double kept =
          all.stream()
              .filter(g -> g.address.equals(address) && g.until.compareTo(at) > 0)
              .mapToDouble(Given::load)
              .sum();
      double most =
          all.stream()
              .filter(g -> g.address.equals(address) && g.until.plus(slack).compareTo(at) > 0)
              .mapToDouble(Given::load)
              .sum();
      assertThat(handedOutLoad.load(address, now)).isBetween(kept - 1e-6, most + 1e-6);
    }
    Duration end = now.plusSeconds(longest).plus(slack).plus(slack);
    for (int i = 0; i < 3; i++) {
      assertThat(handedOutLoad.load("a" + i, end)).as("all forgotten in the end").isZero();
    }
    assertThat(handedOutLoad.isEmpty(end)).isTrue();
  }

  @Test
  void timeSetBackForgetsNothing() {
    HandedOutLoad handedOutLoad = new HandedOutLoad(Duration.ofSeconds(10));
    handedOutLoad.add("a", 5, Duration.ofSeconds(10), Duration.ofSeconds(100));
    assertThat(handedOutLoad.load("a", Duration.ofSeconds(50))).isEqualTo(5);
    assertThat(handedOutLoad.load("a", Duration.ofSeconds(105))).isEqualTo(5);
    assertThat(handedOutLoad.load("a", Duration.ofSeconds(111))).isZero();
  }

  @Test
  void numberOfAddressesIsLimitedAndRoomIsReused() {
    HandedOutLoad handedOutLoad = new HandedOutLoad(Duration.ofSeconds(10));
    for (int i = 0; i < 10_000; i++) {
      assertThat(handedOutLoad.add(i, 1, Duration.ofSeconds(1), Duration.ZERO)).isTrue();
    }
    assertThat(handedOutLoad.add("one more", 1, Duration.ofSeconds(1), Duration.ZERO)).isFalse();
    assertThat(handedOutLoad.size()).isEqualTo(10_000);
    assertThat(handedOutLoad.add("one more", 1, Duration.ofSeconds(1), Duration.ofSeconds(5)))
        .isTrue();
    assertThat(handedOutLoad.size()).isEqualTo(1);
  }
}
