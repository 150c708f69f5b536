package tamarindroute.forms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Drives the level, one agreed step at a time, wherever the agreed view's lead is. Each step is put
 * only in place of the entry it was derived from, so a driver that died between two steps, or two
 * that drive at once, leave nothing half done: whoever leads next goes on from the agreed entry
 * alone. What others said is counted anew by each driver's own clock.
 */
public final class Rollout {

  /**
   * How long all must have said that they can, ahead of the trial and again during it.
   *
   * @param silence a word not said again within this counts anew: between the two it may have been
   *     otherwise
   */
  public record Settings(Duration steady, Duration trial, Duration silence) {}

  public sealed interface Event {
    /**
     * The agreed entry, with the number at which it last changed, and who counts: all not agreed
     * away.
     */
    record Agreed(long number, Level level, Set<String> counted) implements Event {}

    /** This one leads, or does not any more. */
    record Leads(boolean leads) implements Event {}

    /** Operators want the fleet there; null for no more than what is settled. */
    record Wish(Integer level) implements Event {}

    /** A member or a cache says which levels it speaks. */
    record Said(String who, int lowest, int highest) implements Event {}

    /** The agreed view is not held any more. */
    record OutOfTouch() implements Event {}

    record Tick() implements Event {}
  }

  public sealed interface Action {
    /** Put this level in place of the entry of that number. */
    record Agree(long number, Level level) implements Action {}

    /** Tell operators. */
    record Tell(String text) implements Action {}
  }

  /** One's word, since when it has been said without a break, and when it was heard last. */
  private record Word(int lowest, int highest, Duration since, Duration heard) {
    Word anew(Duration now) {
      return new Word(lowest, highest, now, heard);
    }
  }

  private final Settings settings;
  private final Map<String, Word> words = new HashMap<>();
  private long number = -1;
  private Level level;
  private Set<String> counted = Set.of();
  private Duration phaseSince = Duration.ZERO;
  private long asked = -1;
  private boolean leads;
  private Integer wish;
  private String told = "";

  public Rollout(Settings settings) {
    this.settings = settings;
  }

  public List<Action> on(Event event, Duration now) {
    if (event instanceof Event.Agreed agreed) {
      agreed(agreed, now);
    } else if (event instanceof Event.Leads lead) {
      // A new lead counts from now: what was said to another driver is not known for how long.
      leads = lead.leads;
      phaseSince = now;
      words.replaceAll((who, word) -> word.anew(now));
    } else if (event instanceof Event.Wish wanted) {
      wish = wanted.level;
    } else if (event instanceof Event.Said said) {
      said(said, now);
    } else if (event instanceof Event.OutOfTouch) {
      level = null;
    }
    return leads && level != null ? drive(now) : List.of();
  }

  private void agreed(Event.Agreed agreed, Duration now) {
    if (agreed.number < number) {
      return;
    }
    if (agreed.number > number || level == null) {
      phaseSince = now;
    }
    if (level == null || agreed.level.settled() != level.settled()) {
      words.replaceAll((who, word) -> word.anew(now));
    }
    number = agreed.number;
    level = agreed.level;
    counted = Set.copyOf(agreed.counted);
    words.keySet().retainAll(counted);
  }

  /**
   * A word that stays the same keeps its time; one that changes, as a flapping cache's, starts
   * anew.
   */
  private void said(Event.Said said, Duration now) {
    if (counted.contains(said.who)) {
      words.merge(
          said.who,
          new Word(said.lowest, said.highest, now, now),
          (held, fresh) ->
              held.lowest == fresh.lowest && held.highest == fresh.highest && !silent(held, now)
                  ? new Word(held.lowest, held.highest, held.since, now)
                  : fresh);
    }
  }

  private boolean silent(Word word, Duration now) {
    return now.minus(word.heard).compareTo(settings.silence) > 0;
  }

  private List<Action> drive(Duration now) {
    List<Action> actions = new ArrayList<>();
    int target = wish == null ? level.settled() : wish;
    if (target < level.settled()) {
      tell(
          actions,
          "level "
              + target
              + " is asked for, but "
              + level.settled()
              + " is settled and can't be taken back");
    }
    boolean up = target > level.settled();
    Level next = level;
    switch (level.phase()) {
      case CALM -> next = up ? level.propose() : level;
      // The proposal itself stands as long: two that drive with different words would else go to
      // and fro at once.
      case PROPOSED ->
          next =
              !up
                  ? level.takeBack()
                  : waitsFor(actions, settings.steady, now)
                          || now.minus(phaseSince).compareTo(settings.steady) < 0
                      ? level
                      : level.tryOut();
      case TRIAL -> {
        // A trial says that all can; one that says it can't any more takes it back, whatever was
        // wished. One
        // that this driver has not heard lately is waited for: an old word may be over.
        String unable =
            counted.stream()
                .filter(who -> saysItCannot(who, now))
                .sorted()
                .findFirst()
                .orElse(null);
        if (unable != null) {
          tell(
              actions,
              "the trial of level "
                  + (level.settled() + 1)
                  + " is taken back: "
                  + unable
                  + " can't");
        }
        next =
            !up || unable != null
                ? level.takeBack()
                : waitsFor(actions, settings.trial, now)
                        || now.minus(phaseSince).compareTo(settings.trial) < 0
                    ? level
                    : level.settle();
      }
    }
    // Asked once for each entry; whether it was put or not, the next agreed entry tells.
    if (next != level && asked != number) {
      asked = number;
      actions.add(new Action.Agree(number, next));
    }
    return actions;
  }

  /** Nothing came of what was asked for; it may be asked again. */
  public void refused(long refusedNumber) {
    if (asked == refusedNumber) {
      asked = -1;
    }
  }

  private boolean saysItCannot(String who, Duration now) {
    return words.containsKey(who) && !silent(words.get(who), now) && !can(who);
  }

  private boolean can(String who) {
    Word word = words.get(who);
    return word != null
        && word.lowest <= level.settled() + 1
        && word.highest >= level.settled() + 1;
  }

  /** Whether somebody who counts has not yet said for so long that it can. */
  private boolean waitsFor(List<Action> actions, Duration span, Duration now) {
    String last =
        counted.stream()
            .filter(
                who ->
                    !can(who)
                        || silent(words.get(who), now)
                        || now.minus(words.get(who).since).compareTo(span) < 0)
            .sorted()
            .findFirst()
            .orElse(null);
    if (last != null && !can(last)) {
      tell(actions, "level " + (level.settled() + 1) + " waits for " + last);
    }
    return last != null || counted.isEmpty();
  }

  /** As it is now, for whoever explores what can happen. */
  Rollout copy() {
    Rollout copy = new Rollout(settings);
    copy.words.putAll(words);
    copy.number = number;
    copy.level = level;
    copy.counted = counted;
    copy.phaseSince = phaseSince;
    copy.asked = asked;
    copy.leads = leads;
    copy.wish = wish;
    copy.told = told;
    return copy;
  }

  /** Equal for two that will do the same from now on; spans that are over count alike. */
  List<Object> key(Duration now) {
    Duration longest =
        Collections.max(List.of(settings.steady, settings.trial, settings.silence)).plusNanos(1);
    Map<String, List<Object>> said = new HashMap<>();
    words.forEach(
        (who, word) ->
            said.put(
                who,
                List.of(
                    word.lowest,
                    word.highest,
                    age(word.since, now, longest),
                    age(word.heard, now, longest))));
    return List.of(
        said,
        number,
        String.valueOf(level),
        counted,
        age(phaseSince, now, longest),
        asked == number,
        leads,
        String.valueOf(wish));
  }

  private static Duration age(Duration at, Duration now, Duration most) {
    Duration age = now.minus(at);
    return age.compareTo(most) > 0 ? most : age;
  }

  private void tell(List<Action> actions, String text) {
    if (!text.equals(told)) {
      told = text;
      actions.add(new Action.Tell(text));
    }
  }
}
