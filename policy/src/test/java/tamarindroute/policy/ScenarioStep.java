package tamarindroute.policy;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One step of a scenario: its words, its facts in the form {@code key=value}, and the decision that
 * it expects.
 */
final class ScenarioStep {

  private final String text;
  private final List<String> words;
  private final Map<String, String> facts = new HashMap<>();
  private final Optional<String> expectation;

  private ScenarioStep(String text, Optional<String> expectation) {
    this.text = text;
    this.expectation = expectation;
    this.words = Arrays.asList(text.split("\\s+", -1));
    for (String word : words) {
      int equals = word.indexOf('=');
      if (equals >= 0) {
        facts.put(word.substring(0, equals), word.substring(equals + 1));
      }
    }
  }

  /** Parses {@code STEP} or {@code STEP -> EXPECTATION}. */
  static ScenarioStep parse(String step) {
    String[] parts = step.split(" -> ", -1);
    return new ScenarioStep(parts[0], parts.length > 1 ? Optional.of(parts[1]) : Optional.empty());
  }

  String text() {
    return text;
  }

  boolean isEmpty() {
    return text.isEmpty();
  }

  /** Returns the expected decision on the request that the step names; empty if none is stated. */
  Optional<String> expectation() {
    return expectation;
  }

  /** Returns the first word. */
  String verb() {
    return words.get(0);
  }

  /** Returns the word after the verb. */
  String name() {
    return words.get(1);
  }

  /** Returns the word after the name. */
  String argument() {
    return words.get(2);
  }

  /** Returns the words from an index on, the verb being word 0. */
  List<String> wordsFrom(int index) {
    return words.subList(index, words.size());
  }

  /** Throws an exception if the step has a fact other than these. */
  void allowOnly(String... keys) {
    for (String key : facts.keySet()) {
      if (!Set.of(keys).contains(key)) {
        throw new IllegalArgumentException(
            "fact \"" + key + "\" in step \"" + text + "\", expected only " + List.of(keys));
      }
    }
  }

  boolean has(String key) {
    return facts.containsKey(key);
  }

  String text(String key, String absent) {
    return facts.getOrDefault(key, absent);
  }

  long number(String key, long absent) {
    return has(key) ? Long.parseLong(facts.get(key)) : absent;
  }

  boolean flag(String key, boolean absent) {
    return has(key) ? facts.get(key).equals("yes") : absent;
  }

  /** Returns a duration that is written in milliseconds. */
  Duration millis(String key, long absent) {
    return Duration.ofMillis(number(key, absent));
  }

  /** Returns a duration that is written in milliseconds; null if the fact is absent. */
  Duration millisOrNull(String key) {
    return has(key) ? millis(key, 0) : null;
  }

  /** Returns the enum constant of a fact, written in lower case with hyphens. */
  <E extends Enum<E>> E constant(Class<E> type, String key, String absent) {
    return constant(type, text(key, absent));
  }

  /** Returns the enum constant that is written in lower case with hyphens. */
  static <E extends Enum<E>> E constant(Class<E> type, String word) {
    return Enum.valueOf(type, word.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
