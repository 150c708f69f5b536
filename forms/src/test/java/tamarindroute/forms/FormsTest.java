package tamarindroute.forms;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tamarindroute.forms.FirstForms.Held;

class FormsTest {

  private static final Duration KEPT = Duration.ofSeconds(10);

  @Property(tries = 300, seed = "7")
  void whatIsWrittenIsReadBack(@ForAll long bits) {
    assertThat(bits == 0 ? Forms.NONE : Forms.read(new Forms(bits).toString()))
        .isEqualTo(new Forms(bits));
  }

  @Test
  void rangesAreReadAndNonsenseIsRefusedWithItsReason() {
    assertThat(Forms.read("0, 2-4")).isEqualTo(Forms.of(0, 2, 3, 4));
    for (String bad : List.of("", "64", "3-1", "1-2-3", "a", "-1", "1,,2", "0".repeat(201))) {
      assertThatThrownBy(() -> Forms.read(bad))
          .as(bad)
          .isInstanceOf(IllegalArgumentException.class)
          .message()
          .isNotBlank();
    }
  }

  /**
   * The first rule of forms, over all clients, caches, sources and levels: what comes is read by
   * whoever gets it.
   */
  @Property(tries = 2000, seed = "11")
  void nobodyGetsAFormItHasNotSaidItReads(
      @ForAll int client,
      @ForAll int usable,
      @ForAll int reads,
      @ForAll int writes,
      @ForAll int sourceReads,
      @ForAll int sourceWrites) {
    Spoken cache = new Spoken(new Forms(reads & 0xFF), new Forms(writes & 0xFF));
    Spoken source = new Spoken(new Forms(sourceReads & 0xFF), new Forms(sourceWrites & 0xFF));
    Negotiation view = Negotiation.free(new Forms(client & 0xFF), new Forms(usable & 0xFF));
    int look = view.look(cache);
    int fill = view.fill(cache, source);
    for (int form = 0; form < 8; form++) {
      boolean wholeWay = (client & usable & reads & writes & 1 << form) != 0;
      assertThat(wholeWay && form > look)
          .as("a newer form in common than the chosen one")
          .isFalse();
      assertThat(form == look && !wholeWay).isFalse();
      assertThat(form == fill && !(wholeWay && (sourceReads & sourceWrites & 1 << form) != 0))
          .isFalse();
    }
    assertThat(view.possible(List.of(cache))).isEqualTo(look != Negotiation.NO_FORM);
  }

  @Property(tries = 500, seed = "13")
  void aNumberedViewKeepsItsFirstFormOrGoesNowhere(
      @ForAll int client, @ForAll int speaks, @ForAll byte first) {
    Forms told = new Forms(client & 0xFF);
    Spoken cache = new Spoken(new Forms(speaks & 0xFF), new Forms(speaks & 0xFF));
    int version = first & 7;
    assertThat(Negotiation.kept(told, version).look(cache)).isIn(version, Negotiation.NO_FORM);
    assertThat(Negotiation.kept(told, null).look(cache)).isEqualTo(Negotiation.NO_FORM);
  }

  @Test
  void aClientWithNoFormInCommonIsToldWhatIsSpoken() {
    List<Spoken> caches = List.of(Spoken.OLDEST, new Spoken(Forms.of(0, 1, 2), Forms.of(1, 2)));
    assertThat(Negotiation.free(Forms.of(5), Forms.of(0, 1, 5)).possible(caches)).isFalse();
    assertThat(Negotiation.spoken(caches)).isEqualTo(Forms.of(0, 1, 2));
  }

  /**
   * However members' words come, doubled and in any order, nobody holds another first form than
   * went out.
   */
  @Property(tries = 200, seed = "17")
  void firstFormsMergeInAnyOrder(@ForAll long seed) {
    Random chance = new Random(seed);
    List<long[]> words = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      words.add(new long[] {chance.nextInt(4), chance.nextInt(2), chance.nextInt(8)});
    }
    words.addAll(words.subList(0, 4));
    FirstForms one = told(words);
    Collections.shuffle(words, chance);
    FirstForms other = told(words);
    Duration now = Duration.ofSeconds(100);
    for (long view = 0; view < 5; view++) {
      Held held = one.of(view, false, now);
      Held also = other.of(view, false, now);
      boolean torn = held instanceof Held.MayHaveRun;
      long id = view;
      boolean told = words.stream().anyMatch(w -> w[0] == id);
      boolean both =
          words.stream().anyMatch(w -> w[0] == id && w[1] == 0)
              && words.stream().anyMatch(w -> w[0] == id && w[1] == 1);
      assertThat(held).isEqualTo(also);
      assertThat(torn).isEqualTo(both || !told);
    }
  }

  private static FirstForms told(List<long[]> words) {
    FirstForms first = new FirstForms(100, KEPT);
    words.forEach(
        w -> first.went(w[0], (int) w[1], Duration.ofSeconds(w[2]), Duration.ofSeconds(100)));
    return first;
  }

  @Test
  void aRepeatOfWhichNothingIsHeldMayHaveRunInAnotherForm() {
    FirstForms first = new FirstForms(2, KEPT);
    Duration now = Duration.ofSeconds(50);
    assertThat(first.of(1, true, now)).isEqualTo(new Held.Fresh());
    first.went(1, 3, Duration.ZERO, now);
    assertThat(first.of(1, false, now)).isEqualTo(new Held.First(3));
    first.went(2, 3, Duration.ZERO, now);
    first.went(3, 3, Duration.ZERO, now);
    assertThat(first.size()).isEqualTo(2);
    assertThat(first.of(1, false, now))
        .as("dropped for want of room")
        .isEqualTo(new Held.MayHaveRun());
    assertThat(first.of(2, false, now.plus(KEPT))).as("over").isEqualTo(new Held.MayHaveRun());
  }

  @Test
  void neighbouringLevelsMustShareAForm() {
    assertThatThrownBy(() -> new Level.Table(List.of(Forms.of(0), Forms.of(1))))
        .hasMessage("levels 0 and 1 share no form");
    assertThat(new Level(1, Level.Phase.CALM).refuses(0, 0))
        .isEqualTo("the fleet is at level 1 for good, and this one speaks 0 to 0");
    assertThat(new Level(1, Level.Phase.TRIAL).refuses(0, 1)).isNull();
  }
}
