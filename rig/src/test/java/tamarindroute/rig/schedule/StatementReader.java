package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads the words of one statement. All methods refuse with IllegalArgumentException. */
final class StatementReader {

  private static final Duration MAX_TIME = Duration.ofMinutes(2);
  private static final long MAX_RATE = 2000;
  private static final String RATE_UNIT = "/s";

  private final List<String> words;

  /** Spaces around the commas of a set are removed, so that a set is one word. */
  StatementReader(String statement) {
    String plain = statement.replaceAll(" *, *", ",");
    words = new ArrayList<>(Arrays.asList(plain.split("\\s+", -1)));
  }

  boolean isEmpty() {
    return words.isEmpty();
  }

  /** Removes and returns the next word. */
  String next(String what) {
    if (words.isEmpty()) {
      throw new IllegalArgumentException(what + " is missing");
    }
    return words.remove(0);
  }

  /** Removes and returns all words that are left. */
  List<String> rest() {
    List<String> rest = List.copyOf(words);
    words.clear();
    return rest;
  }

  void expect(String word) {
    String found = next("the word " + word);
    if (!found.equals(word)) {
      throw new IllegalArgumentException("expected " + word + " instead of " + found);
    }
  }

  void expectEnd() {
    if (!words.isEmpty()) {
      throw new IllegalArgumentException("unexpected words " + words);
    }
  }

  long number(String what, long least, long most) {
    return number(next(what), what, least, most);
  }

  private static long number(String word, String what, long least, long most) {
    try {
      long number = Long.parseLong(word);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Refused below, with the bounds.
    }
    throw new IllegalArgumentException(
        what + " must be a number from " + least + " to " + most + ", not " + word);
  }

  double decimal(String what) {
    return Double.parseDouble(next(what));
  }

  double rate(String what) {
    String word = next(what);
    if (!word.endsWith(RATE_UNIT)) {
      throw new IllegalArgumentException(what + " must end in " + RATE_UNIT + ", not as " + word);
    }
    String number = word.substring(0, word.length() - RATE_UNIT.length());
    return number(number, what, 0, MAX_RATE);
  }

  Duration time(String what) {
    String word = next(what);
    Duration time = ScheduleTime.parse(word);
    if (time.compareTo(MAX_TIME) > 0) {
      throw new IllegalArgumentException(
          what + " must be at most " + MAX_TIME.toSeconds() + "s, not " + word);
    }
    return time;
  }

  /** A time that may be negative and has no bound but its digits. */
  Duration offset(String what) {
    String word = next(what);
    return word.startsWith("-")
        ? ScheduleTime.parse(word.substring(1)).negated()
        : ScheduleTime.parse(word);
  }
}
