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
 * One step of a scenario: its words, its {@code key=value} facts, and what it expects of the
 * decision that follows.
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

  /** Returns what is expected of the decision about the request that the step names. */
  Optional<String> expectation() {
    return expectation;
  }

  String verb() {
    return words.get(0);
  }

  /** Returns the name after the verb. */
  String name() {
    return words.get(1);
  }

  /** Returns the word after the name. */
  String argument() {
    return words.get(2);
  }

  /** Returns the words after a number of others. */
  List<String> wordsFrom(int index) {
    return words.subList(index, words.size());
  }

  /** Fails on a fact that the step does not know. */
  void allowOnly(String... keys) {
    for (String key : facts.keySet()) {
      if (!Set.of(keys).contains(key)) {
        throw new IllegalArgumentException("unknown fact \"" + key + "\" in the step: " + text);
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

  /** Returns a time given in milliseconds. */
  Duration millis(String key, long absent) {
    return Duration.ofMillis(number(key, absent));
  }

  /** Returns a time given in milliseconds; null if it is absent. */
  Duration millisOrNull(String key) {
    return has(key) ? millis(key, 0) : null;
  }

  /** Returns an enum constant spelled in lower case with hyphens. */
  <E extends Enum<E>> E constant(Class<E> type, String key, String absent) {
    return constant(type, text(key, absent));
  }

  /** Decodes an enum constant spelled in lower case with hyphens. */
  static <E extends Enum<E>> E constant(Class<E> type, String word) {
    return Enum.valueOf(type, word.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
