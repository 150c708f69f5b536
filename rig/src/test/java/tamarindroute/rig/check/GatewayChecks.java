package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.rig.journal.Line;

/** The rules on gateways, from what clients and caches wrote down. */
final class GatewayChecks {

  /** What the rig itself may be late by, on a machine of two cores under many processes. */
  private static final Duration RIG = Duration.ofMillis(400);

  /** The settings' DrainGraceNs. */
  private static final Duration GRACE = Duration.ofMillis(500);

  /** The settings' ColdFrom, ColdNs, FallMultiple and FallNs, and the clients' sending time. */
  private static final double COLD_FROM = 0.22;

  private static final double COLD_SECONDS = 17;
  private static final double MULTIPLE = 3;
  private static final Duration WINDOW = Duration.ofSeconds(2);
  private static final double WORK = 0.1;

  private GatewayChecks() {}

  /** Each view gets one whole final answer in its time, and none after. */
  static Verdict viewsKept(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Times times = new Times(journal);
    Map<String, Line> open = new LinkedHashMap<>();
    Map<String, Line> answered = new HashMap<>();
    for (Line line : journal) {
      String rid = line.value("rid");
      if (!line.by("client") || rid == null) {
        continue;
      }
      if (line.text().startsWith("sent")) {
        open.put(rid, line);
        verdict.judged++;
      } else if (line.text().startsWith("answer")) {
        Line sent = open.remove(rid);
        if (sent == null) {
          verdict.breach(
              line.at(),
              "an answer to nothing that is open"
                  + (answered.containsKey(rid) ? ": the view was answered already" : "")
                  + ": "
                  + line.text());
          continue;
        }
        answered.put(rid, line);
        Duration latest = latest(times, sent, line.at());
        if (!"true".equals(line.value("whole"))) {
          verdict.breach(line.at(), "an answer that is not the object's bytes: " + line.text());
        } else if (line.at().compareTo(latest) > 0) {
          verdict.breach(
              line.at(),
              "an answer " + line.at().minus(latest).toMillis() + " ms too late: " + line.text());
        }
      }
    }
    open.forEach(
        (rid, sent) -> {
          Duration latest = latest(times, sent, Times.NEVER);
          if (!times.downWithin(sent.value("gateway"), sent.at(), latest)
              && times.end.compareTo(latest) > 0) {
            verdict.breach(sent.at(), "no answer ever: " + sent.text());
          }
        });
    return verdict;
  }

  /** What was paused by the rig is added: a stopped process answers once it runs. */
  private static Duration latest(Times times, Line sent, Duration until) {
    Duration budget = Duration.ofMillis(Long.parseLong(sent.value("budget"))).plus(RIG);
    Duration end = sent.at().plus(budget);
    return end.plus(
        times.pausedWithin(
            sent.value("gateway"), sent.at(), until.compareTo(end) > 0 ? end : until));
  }

  /**
   * A view whose effect can't be told apart from a second one runs once at most, at all caches
   * together.
   */
  static Verdict effectsOnce(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Map<String, Line> ran = new HashMap<>();
    for (Line line : journal) {
      if (!line.text().startsWith("ASK ") || !"once".equals(line.value("lane"))) {
        continue;
      }
      verdict.judged++;
      String rid = line.value("rid");
      Line before = ran.get(rid);
      if (before != null) {
        verdict.breach(
            line.at(),
            "sent to "
                + line.who()
                + " though it may have run at "
                + before.who()
                + ": "
                + line.text());
      }
      if ("true".equals(line.value("ran"))) {
        ran.put(rid, line);
      }
    }
    return verdict;
  }

  /**
   * No request reaches a cache, or names it as its source, later than the grace after its drain was
   * told.
   */
  static Verdict drainsKept(List<Line> journal, List<String> words) {
    // With "by any" a drain told to one counts as told to all, as where gateways tell each other.
    boolean any = words.equals(List.of("by", "any"));
    Verdict verdict = new Verdict();
    Times times = new Times(journal);
    Map<String, Duration> told = new HashMap<>();
    Set<String> drained = new HashSet<>();
    for (Line line : journal) {
      if (line.by("feed")) {
        String key = line.value("cache") + " " + (any ? "" : line.value("told"));
        boolean out = Set.of("draining", "gone").contains(line.value("state"));
        if (out) {
          told.putIfAbsent(key, line.at());
          drained.add(line.value("cache"));
        } else {
          told.remove(key);
        }
      } else if (line.text().startsWith("ASK ") && !drained.isEmpty()) {
        verdict.judged++;
        String gateway = line.value("from");
        for (String cache : new String[] {line.who(), line.value("source")}) {
          Duration since = told.get(cache + " " + (any ? "" : gateway));
          if (since == null) {
            continue;
          }
          Duration latest = since.plus(GRACE).plus(RIG);
          if (line.at().compareTo(latest.plus(times.pausedWithin(gateway, since, line.at()))) > 0) {
            verdict.breach(
                line.at(),
                cache
                    + " used by "
                    + gateway
                    + ", "
                    + line.at().minus(since).toMillis()
                    + " ms after its drain: "
                    + line.text());
          }
        }
      }
    }
    return verdict;
  }

  /** What all gateways send to a cold cache in any window stays under what pushes it over. */
  static Verdict coldShareKept(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Map<String, Line> cold = new HashMap<>();
    Map<String, List<Duration>> sent = new HashMap<>();
    for (Line line : journal) {
      if (line.by("feed") && "cold".equals(line.value("state"))) {
        cold.putIfAbsent(line.value("cache"), line);
      }
      Line start = cold.get(line.who());
      if (start == null || !line.text().startsWith("ASK ")) {
        continue;
      }
      double age = line.at().minus(start.at()).toMillis() / 1000.0;
      List<Duration> window = sent.computeIfAbsent(line.who(), name -> new ArrayList<>());
      // What was on its way when the start was told came from gateways that could not know of it.
      if (age >= COLD_SECONDS || line.at().compareTo(start.at().plus(RIG)) < 0) {
        continue;
      }
      verdict.judged++;
      window.add(line.at());
      window.removeIf(at -> at.compareTo(line.at().minus(WINDOW)) < 0);
      double able =
          Double.parseDouble(start.value("weight"))
              * (COLD_FROM + (1 - COLD_FROM) * age / COLD_SECONDS);
      double most = MULTIPLE * able * WINDOW.toSeconds();
      if (window.size() * WORK > most) {
        verdict.breach(
            line.at(),
            line.who()
                + " got work of %.1f s in %d s, cold since %.1f s; %.1f push it over"
                    .formatted(window.size() * WORK, WINDOW.toSeconds(), age, most));
      }
    }
    return verdict;
  }
}
