package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import tamarindroute.rig.proxy.Fault;
import tamarindroute.rig.schedule.Schedule.Deed;
import tamarindroute.rig.schedule.Schedule.Expectation;
import tamarindroute.rig.schedule.Schedule.Kind;
import tamarindroute.rig.schedule.Schedule.Step;

/** Reads a schedule line by line. A line is read whole or refused with its reason. */
final class Words {

  private static final Map<String, Kind> KINDS =
      Map.of("gateways", Kind.GATEWAYS, "members", Kind.MEMBERS, "stand-ins", Kind.STAND_INS);
  private static final List<String> STATES = List.of("ready", "draining", "gone", "cold");

  /** The bounds of the rig: what one machine can carry, and how long a play may take. */
  private static final int MOST_PROCESSES = 16;

  private static final Duration LONGEST = Duration.ofMinutes(2);

  /** Why a line can't be read. */
  private static final class Refused extends RuntimeException {
    private static final long serialVersionUID = 1;

    Refused(String why) {
      super(why);
    }
  }

  private final Schedule schedule;
  private List<String> words;

  Words(Schedule schedule) {
    this.schedule = schedule;
  }

  void read(int line, String text) throws MalformedScheduleException {
    String plain = text.replaceAll("#.*", "").strip();
    if (plain.isEmpty()) {
      return;
    }
    words = new ArrayList<>(Arrays.asList(plain.replaceAll(" *, *", ",").split("\\s+")));
    try {
      statement(line, plain);
      if (!words.isEmpty()) {
        throw new Refused("nothing is known to do with " + words);
      }
    } catch (Refused | IllegalArgumentException e) {
      throw new MalformedScheduleException(schedule.file, line, e.getMessage());
    }
  }

  void end(int line) throws MalformedScheduleException {
    String lacks =
        schedule.processes == 0
            ? "processes"
            : schedule.until == null ? "until" : schedule.expectations.isEmpty() ? "expect" : null;
    if (lacks != null) {
      throw new MalformedScheduleException(schedule.file, line, "there is no line with: " + lacks);
    }
    for (Step step : schedule.steps) {
      if (step.at().compareTo(schedule.until) > 0) {
        throw new MalformedScheduleException(
            schedule.file, step.line(), "this comes after the end");
      }
    }
  }

  private void statement(int line, String text) {
    String first = next("a statement");
    switch (first) {
      case "processes" -> processes();
      case "seed" -> schedule.seed = number(next("a seed"), 0, Long.MAX_VALUE);
      case "clients" -> schedule.clients = rate(next("a rate, as 40/s"));
      case "until" -> schedule.until = time(next("a time"));
      case "at" -> {
        Duration at = time(next("a time"));
        schedule.steps.add(new Step(at, line, text, deed(next("a deed"))));
      }
      case "loss", "delay", "double", "cut" ->
          schedule.steps.add(new Step(Duration.ZERO, line, text, deed(first)));
      case "expect" -> {
        String name = next("a checker's name");
        boolean breach = name.equals("breach");
        schedule.expectations.add(
            new Expectation(breach ? next("a checker's name") : name, rest(), breach, line));
      }
      case "seeds", "voters", "timing", "weight", "sharers", "alike" -> {
        words.add(0, first);
        schedule.settings.add(rest());
      }
      default -> throw new Refused("there is no statement " + first);
    }
  }

  private void processes() {
    schedule.processes = (int) number(next("a number"), 1, MOST_PROCESSES);
    String kind = next("gateways, members or stand-ins");
    schedule.kind = KINDS.get(kind);
    if (schedule.kind == null) {
      throw new Refused("processes are gateways, members or stand-ins, not " + kind);
    }
    int edges = schedule.kind == Kind.STAND_INS ? 0 : 2;
    if (!words.isEmpty()) {
      expect("with");
      edges = (int) number(next("a number of caches"), 1, 16);
      expect("caches");
    }
    for (int i = 0; i < edges; i++) {
      schedule.caches.add(String.valueOf((char) ('a' + i)));
    }
    if (edges > 0) {
      schedule.caches.addAll(List.of("parent", "origin"));
    }
  }

  private Deed deed(String verb) {
    return switch (verb) {
      case "cut" -> ways(fault -> fault.withCut(true));
      case "heal" ->
          words.isEmpty()
              ? stage -> stage.fault(schedule.places(), schedule.places(), fault -> Fault.NONE)
              : ways(fault -> Fault.NONE);
      case "loss", "double", "delay" -> measured(verb);
      case "reset" -> Stage::reset;
      case "stop", "starve" -> {
        String who = process();
        expect("for");
        Duration length = time(next("a length"));
        yield verb.equals("stop")
            ? stage -> stage.stop(who, length)
            : stage -> stage.starve(who, length);
      }
      case "kill" -> {
        String who = process();
        yield stage -> stage.kill(who);
      }
      case "leave" -> {
        String who = process();
        yield stage -> stage.leave(who);
      }
      case "start" -> {
        String who = process();
        Duration clock = words.isEmpty() ? Duration.ZERO : clock();
        yield stage -> stage.start(who, clock);
      }
      case "tell" -> tell();
      case "mode" -> {
        String cache = cache();
        String mode = next("a mode").toUpperCase(Locale.ROOT);
        yield stage -> stage.mode(cache, mode);
      }
      default -> throw new Refused("there is no deed " + verb);
    };
  }

  private Deed measured(String verb) {
    List<String> from = set(next("who"));
    expect(">");
    List<String> to = set(next("whom"));
    UnaryOperator<Fault> change;
    if (verb.equals("delay")) {
      Duration least = time(next("a time"));
      Duration more = words.isEmpty() ? Duration.ZERO : time(next("a time"));
      change = fault -> fault.withDelay(least, more);
    } else {
      double share = Double.parseDouble(next("a share"));
      change = fault -> verb.equals("loss") ? fault.withLoss(share) : fault.withDoubled(share);
    }
    change.apply(Fault.NONE);
    return stage -> stage.fault(from, to, change);
  }

  private Deed ways(UnaryOperator<Fault> change) {
    List<String> from = set(next("who"));
    expect(">");
    List<String> to = set(next("whom"));
    return stage -> stage.fault(from, to, change);
  }

  /** tell a draining by feed of 1 */
  private Deed tell() {
    String cache = cache();
    String state = next("a state");
    if (!STATES.contains(state)) {
      throw new Refused("a cache's state is one of " + STATES);
    }
    List<String> feeds = schedule.numbers();
    if (!words.isEmpty()) {
      expect("by");
      expect("feed");
      expect("of");
      feeds = set(next("whose feed"));
      feeds.retainAll(schedule.numbers());
    }
    List<String> told = feeds;
    return stage -> stage.tell(cache, state, told);
  }

  private Duration clock() {
    expect("clock");
    String by = next("by how much the clock is off");
    return by.startsWith("-") ? read(by.substring(1)).negated() : read(by);
  }

  private String process() {
    String who = next("a process");
    if (!schedule.numbers().contains(who)) {
      throw new Refused("there is no process " + who);
    }
    return who;
  }

  private String cache() {
    String cache = next("a cache");
    if (!schedule.caches.contains(cache)) {
      throw new Refused("there is no cache " + cache + " among " + schedule.caches);
    }
    return cache;
  }

  private List<String> set(String word) {
    List<String> all = schedule.places();
    if (word.equals("*")) {
      return all;
    }
    String inside =
        word.startsWith("{") && word.endsWith("}") ? word.substring(1, word.length() - 1) : word;
    List<String> some = new ArrayList<>(Arrays.asList(inside.split(",")));
    for (String one : some) {
      if (!all.contains(one)) {
        throw new Refused("there is nobody called " + one + " among " + all);
      }
    }
    return some;
  }

  private String next(String what) {
    if (words.isEmpty()) {
      throw new Refused("here " + what + " is missing");
    }
    return words.remove(0);
  }

  private List<String> rest() {
    List<String> rest = List.copyOf(words);
    words.clear();
    return rest;
  }

  private void expect(String word) {
    String found = next("the word " + word);
    if (!found.equals(word)) {
      throw new Refused("here " + word + " is expected, not " + found);
    }
  }

  private static double rate(String word) {
    if (!word.endsWith("/s")) {
      throw new Refused("a rate ends in /s, not as " + word);
    }
    return number(word.substring(0, word.length() - 2), 0, 2000);
  }

  private static long number(String word, long least, long most) {
    try {
      long number = Long.parseLong(word);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, with the bounds.
    }
    throw new Refused("a number from " + least + " to " + most + " is expected, not " + word);
  }

  /** 1.5s or 200ms. */
  private static Duration time(String word) {
    Duration time = read(word);
    if (time.compareTo(LONGEST) > 0) {
      throw new Refused("a time is " + LONGEST.toSeconds() + "s at most, not " + word);
    }
    return time;
  }

  /** Also by how much a clock is off, which has no bound but its digits. */
  static Duration read(String word) {
    String digits = word.replaceAll("(ms|s)$", "");
    if (!digits.matches("[0-9]{1,6}(\\.[0-9]{1,3})?") || digits.equals(word)) {
      throw new Refused("a time reads as 1.5s or 200ms, not as " + word);
    }
    double value = Double.parseDouble(digits);
    return Duration.ofNanos(Math.round(value * (word.endsWith("ms") ? 1e6 : 1e9)));
  }
}
