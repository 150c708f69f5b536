package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RoutingPolicy;

/** Plays one scenario file against a fresh module; the notation is described in the README. */
final class Scenario {

  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Map<String, Cache> caches = new HashMap<>();
  private final Map<String, Cache> bound = new HashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, Decision> decisions = new HashMap<>();
  private final Map<Cache, Integer> sent = new HashMap<>();
  private PolicySettings settings = settings(Map.of());
  private RoutingPolicy policy;
  private Duration now = Duration.ZERO;
  private int steps;

  void play(List<String> lines) {
    for (String line : lines) {
      String[] times = line.replaceAll("#.*", "").strip().split(" times ");
      for (int n = 1; n <= (times.length > 1 ? Integer.parseInt(times[0]) : 1); n++) {
        for (String step : times[times.length - 1].split("; ")) {
          step(step.replace("$", "" + n));
        }
      }
    }
  }

  void assertChecked() {
    assertThat(steps).as("checks in the scenario").isPositive();
  }

  private void step(String whole) {
    String[] parts = whole.split(" -> ");
    String line = parts[0];
    if (line.isEmpty()) {
      return;
    }
    String[] words = line.split("\\s+");
    Map<String, String> facts = new HashMap<>();
    for (String word : words) {
      int equals = word.indexOf('=');
      facts.put(
          equals < 0 ? word : word.substring(0, equals),
          equals < 0 ? "yes" : word.substring(equals + 1));
    }
    switch (words[0]) {
      case "settings" -> settings = settings(facts);
      case "profile" -> requestClasses.put(words[1], requestClass(words[2], facts));
      case "cache" -> cache(words, facts);
      case "list", "restart" -> {
        policy =
            policy == null || words[0].equals("restart") ? new RatioTestPolicy(settings) : policy;
        policy.onEndpoints(
            caches.values().stream().sorted(Comparator.comparingLong(c -> c.stableId)).toList(),
            now);
      }
      case "load" ->
          policy.onLoadReport(
              caches.get(words[1]),
              new LoadReport(
                  facts.containsKey("busy") ? whole(facts, "busy", 0) / 100.0 : Double.NaN,
                  whole(facts, "outstanding", -1) < 0
                      ? Double.NaN
                      : whole(facts, "outstanding", -1)),
              now);
      case "dealt" ->
          policy.onQuotaGrant(
              Cache.Tier.valueOf(words[1].toUpperCase(Locale.ROOT)),
              whole(facts, "part", 0) / 100.0,
              millis(facts.get("until")),
              now);
      case "at" -> now = millis(words[1]);
      case "later" -> now = now.plus(millis(words[1]));
      case "purge" ->
          policy.onPurge(
              new Purge(
                  facts.containsKey("object") ? whole(facts, "object", 0) : null,
                  (int) whole(facts, "group", 0),
                  now.minus(millis(facts.getOrDefault("age", "0")))),
              now);
      case "view" -> {
        Request request =
            new Request(
                requestClasses.get(words[2]),
                whole(facts, "object", 1),
                (int) whole(facts, "part", 0),
                (int) whole(facts, "group", 0),
                whole(facts, "kb", 100),
                now,
                now.plus(millis(facts.getOrDefault("left", "3000"))));
        requests.put(words[1], request);
        recordDecision(words[1], policy.route(request, now));
      }
      case "ask" -> recordDecision(words[1], policy.route(requests.get(words[1]), now));
      case "outcome" -> outcome(words, facts);
      case "expect" -> expect(line, words);
      case "patience" -> {
        Duration delay = policy.nextDecisionDelay(requests.get(words[1]), now);
        check(line, String.valueOf(delay == null ? null : delay.toMillis() > 0), words[2]);
      }
      case "go" -> {
        Request request = requests.get(words[1]);
        check(
            line,
            policy.mayStillSend(request, request.attempts.get((int) whole(facts, "trip", 0)), now)
                ? "yes"
                : "no",
            words[2]);
      }
      case "sent" -> {
        steps++;
        int count = sent.getOrDefault(caches.get(words[1]), 0);
        assertThat(count)
            .as(line)
            .isBetween((int) whole(facts, "least", 0), (int) whole(facts, "most", 1 << 30));
      }
      case "forget-sent" -> sent.clear();
      default -> throw new IllegalArgumentException("no such step: " + line);
    }
    if (parts.length > 1) {
      step("expect " + words[1] + " " + parts[1]);
    }
  }

  private static Duration millis(String text) {
    return Duration.ofMillis(Long.parseLong(text));
  }

  private static long whole(Map<String, String> facts, String key, long absent) {
    return facts.containsKey(key) ? Long.parseLong(facts.get(key)) : absent;
  }

  private static boolean truth(Map<String, String> facts, String key, boolean absent) {
    return facts.containsKey(key) ? facts.get(key).equals("yes") : absent;
  }

  /** FROM/WARM-AFTER/MULTIPLE/WINDOW, the times in milliseconds. */
  private static PolicySettings.ColdStart coldStart(String text) {
    String[] parts = text.split("/");
    return new PolicySettings.ColdStart(
        Double.parseDouble(parts[0]),
        millis(parts[1]),
        Double.parseDouble(parts[2]),
        millis(parts[3]));
  }

  private static PolicySettings settings(Map<String, String> facts) {
    return new PolicySettings(
        7,
        1,
        (int) whole(facts, "gateways", 1),
        (int) whole(facts, "here", 1),
        List.of(0, 0),
        whole(facts, "pace", 1000),
        whole(facts, "linkin", 0),
        truth(facts, "direct", false),
        truth(facts, "siblings", true),
        truth(facts, "tells", true),
        truth(facts, "second", false),
        truth(facts, "recalls", true),
        facts.containsKey("comeback") ? millis(facts.get("comeback")) : null,
        (int) whole(facts, "trips", 6),
        coldStart(facts.getOrDefault("edgecold", "0.2/10000/3/2000")),
        coldStart(facts.getOrDefault("parentcold", "0.1/20000/2/2000")),
        millis("6000"),
        PolicySettings.WeightMeaning.valueOf(
            facts.getOrDefault("weights", "rough").toUpperCase(Locale.ROOT)));
  }

  private static RequestClass requestClass(String repeat, Map<String, String> facts) {
    return new RequestClass(
        RequestClass.Idempotency.valueOf(repeat.toUpperCase(Locale.ROOT).replace('-', '_')),
        RequestClass.DeduplicationScope.valueOf(
            facts.getOrDefault("group", "all").toUpperCase(Locale.ROOT)),
        millis(facts.getOrDefault("window", "3000")),
        millis(facts.getOrDefault("agreed", "500")),
        2,
        truth(facts, "kept", true),
        millis(facts.getOrDefault("fresh", "0")));
  }

  private void cache(String[] words, Map<String, String> facts) {
    Cache cache = caches.computeIfAbsent(words[1], name -> new Cache(1000 + caches.size()));
    for (String word : words) {
      switch (word) {
        case "edge" -> cache.zone = 1;
        case "parent" -> cache.tier = Cache.Tier.PARENT;
        case "origin" -> cache.tier = Cache.Tier.ORIGIN;
        case "ready", "draining", "gone" ->
            cache.availability = Cache.Availability.valueOf(word.toUpperCase(Locale.ROOT));
        default -> {}
      }
    }
    cache.weight = whole(facts, "weight", cache.weight == 1 ? 10 : (long) cache.weight);
    cache.cell = (int) whole(facts, "cell", cache.cell);
    cache.startedAt = facts.containsKey("up") ? millis(facts.get("up")) : cache.startedAt;
  }

  private void recordDecision(String name, Decision decision) {
    decisions.put(name, decision);
    if (decision instanceof Attempt attempt) {
      attempt.sentAt = now;
      requests.get(name).attempts.add(attempt);
      sent.merge(attempt.cache, 1, Integer::sum);
      if (attempt.source != attempt.cache) {
        sent.merge(attempt.source, 1, Integer::sum);
      }
    }
  }

  /**
   * The outcome of the view's latest trip that is out, or of trip=N; an honoured one closes the
   * view.
   */
  private void outcome(String[] words, Map<String, String> facts) {
    Request request = requests.get(words[1]);
    Outcome.Result result =
        Outcome.Result.valueOf(words[2].toUpperCase(Locale.ROOT).replace('-', '_'));
    String told = facts.getOrDefault("detail", "unknown");
    Outcome.Detail detail = Outcome.Detail.valueOf(told.toUpperCase(Locale.ROOT).replace('-', '_'));
    Attempt attempt =
        facts.containsKey("trip")
            ? request.attempts.get((int) whole(facts, "trip", 0))
            : request.attempts.stream()
                .filter(t -> t.outcome == null)
                .reduce((a, b) -> b)
                .orElseThrow();
    attempt.outcome =
        new Outcome(
            result,
            detail,
            millis(facts.getOrDefault("took", "100")),
            facts.containsKey("wait") ? millis(facts.get("wait")) : null,
            result == Outcome.Result.SERVED);
    recordDecision(words[1], policy.onOutcome(request, attempt, now));
  }

  /** A fact is compared with = or !=; a cache's name with ? before it is bound on the spot. */
  private void expect(String line, String[] words) {
    Decision decision = decisions.get(words[1]);
    check(line, decision.getClass().getSimpleName().toLowerCase(Locale.ROOT), words[2]);
    for (String word : Arrays.asList(words).subList(3, words.length)) {
      boolean not = word.contains("!=");
      String key = word.substring(0, word.indexOf(not ? "!=" : "="));
      String wanted = word.substring(word.indexOf('=') + 1);
      Object found;
      if (decision instanceof Attempt attempt) {
        found =
            switch (key) {
              case "to" -> attempt.cache;
              case "from" -> attempt.source;
              case "rank" -> attempt.rank;
              case "held" -> attempt.onlyIfCached ? "yes" : "no";
              case "renew" -> attempt.revalidate ? "yes" : "no";
              case "oldest" -> attempt.maxCopyAge == null ? "any" : attempt.maxCopyAge.toMillis();
              default -> throw new IllegalArgumentException(line);
            };
      } else if (decision instanceof Decision.Reject dismissal && key.equals("comeback")) {
        found = dismissal.retryAfter() == null ? "none" : "some";
      } else {
        throw new IllegalArgumentException(line);
      }
      if (wanted.startsWith("?")) {
        bound.put(wanted.substring(1), (Cache) found);
      } else if (not) {
        steps++;
        assertThat(found).as(line).isNotEqualTo(bound.getOrDefault(wanted, caches.get(wanted)));
      } else {
        check(
            line,
            found instanceof Cache ? found : String.valueOf(found),
            found instanceof Cache ? bound.getOrDefault(wanted, caches.get(wanted)) : wanted);
      }
    }
  }

  private void check(String line, Object found, Object wanted) {
    steps++;
    assertThat(found).as(line).isEqualTo(wanted);
  }
}
