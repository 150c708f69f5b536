package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.UnaryOperator;
import tamarindroute.rig.proxy.LinkFaults;
import tamarindroute.rig.schedule.Schedule.Action;

/** Parses the actions of a schedule. */
final class ActionParser {

  private static final List<String> CACHE_STATES = List.of("ready", "draining", "gone", "cold");

  private final List<String> processes;
  private final List<String> caches;
  private final List<String> endpoints;

  ActionParser(int processCount, List<String> caches) {
    processes = Schedule.processNames(processCount);
    this.caches = caches;
    endpoints = Schedule.endpoints(processCount, caches);
  }

  Action parse(String verb, StatementReader words) {
    return switch (verb) {
      case "cut" -> cut(words);
      case "heal" -> heal(words);
      case "loss" -> loss(words);
      case "duplicate" -> duplicate(words);
      case "delay" -> delay(words);
      case "reset" -> ActionTarget::resetConnections;
      case "pause" -> pause(words);
      case "throttle" -> throttle(words);
      case "kill" -> kill(words);
      case "terminate" -> terminate(words);
      case "start" -> start(words);
      case "announce" -> announce(words);
      case "mode" -> mode(words);
      default -> throw new IllegalArgumentException("unknown action " + verb);
    };
  }

  private Action heal(StatementReader words) {
    if (words.isEmpty()) {
      return target -> target.changeFaults(endpoints, endpoints, faults -> LinkFaults.NONE);
    }
    return links(words).changeFaults(faults -> LinkFaults.NONE);
  }

  /** The ends of directed links: FROM > TO. */
  private record Links(List<String> from, List<String> to) {
    /** Values out of bounds are refused here, not when the action is performed. */
    Action changeFaults(UnaryOperator<LinkFaults> change) {
      Objects.requireNonNull(change.apply(LinkFaults.NONE));
      return target -> target.changeFaults(from, to, change);
    }
  }

  private Links links(StatementReader words) {
    List<String> from = endpoints(words.next("an endpoint"));
    words.expect(">");
    return new Links(from, endpoints(words.next("an endpoint")));
  }

  private Action cut(StatementReader words) {
    return links(words).changeFaults(faults -> faults.withCut(true));
  }

  private Action loss(StatementReader words) {
    Links links = links(words);
    double share = words.decimal("a share");
    return links.changeFaults(faults -> faults.withLoss(share));
  }

  private Action duplicate(StatementReader words) {
    Links links = links(words);
    double share = words.decimal("a share");
    return links.changeFaults(faults -> faults.withDuplication(share));
  }

  private Action delay(StatementReader words) {
    Links links = links(words);
    Duration least = words.time("a delay");
    Duration jitter = words.isEmpty() ? Duration.ZERO : words.time("a jitter");
    return links.changeFaults(faults -> faults.withDelay(least, jitter));
  }

  private Action pause(StatementReader words) {
    String process = process(words);
    words.expect("for");
    Duration length = words.time("a length");
    return target -> target.pause(process, length);
  }

  private Action throttle(StatementReader words) {
    String process = process(words);
    words.expect("for");
    Duration length = words.time("a length");
    return target -> target.throttle(process, length);
  }

  private Action kill(StatementReader words) {
    String process = process(words);
    return target -> target.kill(process);
  }

  private Action terminate(StatementReader words) {
    String process = process(words);
    return target -> target.terminate(process);
  }

  private Action start(StatementReader words) {
    String process = process(words);
    if (words.isEmpty()) {
      return target -> target.start(process, Duration.ZERO);
    }
    words.expect("clock");
    Duration offset = words.offset("a clock offset");
    return target -> target.start(process, offset);
  }

  private Action announce(StatementReader words) {
    String cache = cache(words);
    String state = words.next("a cache state");
    if (!CACHE_STATES.contains(state)) {
      throw new IllegalArgumentException(
          "a cache state must be one of " + CACHE_STATES + ", not " + state);
    }
    if (words.isEmpty()) {
      return target -> target.announce(cache, state, processes);
    }
    words.expect("to");
    List<String> receivers = new ArrayList<>(endpoints(words.next("a process")));
    receivers.retainAll(processes);
    return target -> target.announce(cache, state, receivers);
  }

  private Action mode(StatementReader words) {
    String cache = cache(words);
    String mode = words.next("a mode").toUpperCase(Locale.ROOT);
    return target -> target.setMode(cache, mode);
  }

  private String process(StatementReader words) {
    String process = words.next("a process");
    if (!processes.contains(process)) {
      throw new IllegalArgumentException("there is no process " + process);
    }
    return process;
  }

  private String cache(StatementReader words) {
    String cache = words.next("a cache");
    if (!caches.contains(cache)) {
      throw new IllegalArgumentException("there is no cache " + cache + " among " + caches);
    }
    return cache;
  }

  /** One endpoint, a set of them in braces, or all of them. */
  private List<String> endpoints(String word) {
    if (word.equals("*")) {
      return endpoints;
    }
    boolean isSet = word.startsWith("{") && word.endsWith("}");
    String names = isSet ? word.substring(1, word.length() - 1) : word;
    List<String> some = Arrays.asList(names.split(",", -1));
    for (String name : some) {
      if (!endpoints.contains(name)) {
        throw new IllegalArgumentException("there is no endpoint " + name + " among " + endpoints);
      }
    }
    return some;
  }
}
