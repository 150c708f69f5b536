package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
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

/** Plays one scenario file against a new policy. The README describes the notation. */
final class Scenario {

  private static final long FIRST_STABLE_ID = 1000;
  private static final long DEFAULT_WEIGHT = 10;

  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Map<String, Cache> caches = new HashMap<>();
  private final Map<String, Cache> boundCaches = new HashMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, Decision> decisions = new HashMap<>();
  private final Map<Cache, Integer> sent = new HashMap<>();
  private PolicySettings settings = ScenarioValues.settings(ScenarioStep.parse("settings"));
  private RoutingPolicy policy;
  private Duration now = Duration.ZERO;
  private int checks;

  /**
   * Plays lines. {@code #} starts a comment, {@code ;} separates steps, and {@code N times} repeats
   * a line.
   */
  void play(List<String> lines) {
    for (String line : lines) {
      String[] parts = line.replaceAll("#.*", "").strip().split(" times ", -1);
      int repetitions = parts.length > 1 ? Integer.parseInt(parts[0]) : 1;
      String steps = parts[parts.length - 1];
      for (int n = 1; n <= repetitions; n++) {
        for (String step : steps.split("; ", -1)) {
          play(ScenarioStep.parse(step.replace("$", "" + n)));
        }
      }
    }
  }

  /** Fails if the scenario has made no check. */
  void assertChecked() {
    assertThat(checks).as("checks in the scenario").isPositive();
  }

  private void play(ScenarioStep step) {
    if (step.isEmpty()) {
      return;
    }
    switch (step.verb()) {
      case "settings" -> settings = ScenarioValues.settings(step);
      case "class" -> requestClasses.put(step.name(), ScenarioValues.requestClass(step));
      case "cache" -> updateCache(step);
      case "endpoints" -> publishEndpoints();
      case "restart" -> {
        policy = null;
        publishEndpoints();
      }
      case "load" -> reportLoad(step);
      case "grant" -> grantQuota(step);
      case "at" -> now = Duration.ofMillis(Long.parseLong(step.name()));
      case "later" -> now = now.plusMillis(Long.parseLong(step.name()));
      case "purge" -> purge(step);
      case "request" -> sendRequest(step);
      case "decide" -> execute(step.name(), policy.route(requests.get(step.name()), now));
      case "outcome" -> endAttempt(step);
      case "expect" -> expect(step);
      case "delay" -> checkDelay(step);
      case "may-send" -> checkMaySend(step);
      case "sent" -> checkSent(step);
      case "reset-sent" -> sent.clear();
      default ->
          throw new IllegalArgumentException(
              "step \"" + step.text() + "\" has the unknown verb \"" + step.verb() + "\"");
    }
    step.expectation()
        .ifPresent(
            expectation -> play(ScenarioStep.parse("expect " + step.name() + " " + expectation)));
  }

  private void updateCache(ScenarioStep step) {
    step.allowOnly("weight", "cell", "started");
    Cache cache =
        caches.computeIfAbsent(step.name(), name -> new Cache(FIRST_STABLE_ID + caches.size()));
    for (String word : step.wordsFrom(2)) {
      switch (word) {
        case "edge" -> cache.zone = 1;
        case "parent" -> cache.tier = Cache.Tier.PARENT;
        case "origin" -> cache.tier = Cache.Tier.ORIGIN;
        case "ready", "draining", "gone" ->
            cache.availability = ScenarioStep.constant(Cache.Availability.class, word);
        default -> assertThat(word).as(step.text()).contains("=");
      }
    }
    cache.weight = step.number("weight", cache.weight == 1 ? DEFAULT_WEIGHT : (long) cache.weight);
    cache.cell = (int) step.number("cell", cache.cell);
    cache.startedAt = step.has("started") ? step.millis("started", 0) : cache.startedAt;
  }

  private void publishEndpoints() {
    policy = policy == null ? new RatioTestPolicy(settings) : policy;
    Comparator<Cache> byId = Comparator.comparingLong(cache -> cache.stableId);
    policy.onEndpoints(caches.values().stream().sorted(byId).toList(), now);
  }

  private void reportLoad(ScenarioStep step) {
    step.allowOnly("cpu", "outstanding");
    double cpu = step.has("cpu") ? step.number("cpu", 0) / 100.0 : Double.NaN;
    double outstanding = step.has("outstanding") ? step.number("outstanding", 0) : Double.NaN;
    policy.onLoadReport(caches.get(step.name()), new LoadReport(cpu, outstanding), now);
  }

  private void grantQuota(ScenarioStep step) {
    step.allowOnly("share", "expires");
    Cache.Tier tier = ScenarioStep.constant(Cache.Tier.class, step.name());
    policy.onQuotaGrant(tier, step.number("share", 0) / 100.0, step.millis("expires", 0), now);
  }

  private void purge(ScenarioStep step) {
    step.allowOnly("object", "group", "age");
    Long objectId = step.has("object") ? step.number("object", 0) : null;
    int group = (int) step.number("group", 0);
    policy.onPurge(new Purge(objectId, group, now.minus(step.millis("age", 0))), now);
  }

  private void sendRequest(ScenarioStep step) {
    step.allowOnly("object", "part", "group", "kb", "timeout");
    Request request =
        new Request(
            requestClasses.get(step.argument()),
            step.number("object", 1),
            (int) step.number("part", 0),
            (int) step.number("group", 0),
            step.number("kb", 100),
            now,
            now.plus(step.millis("timeout", 3000)));
    requests.put(step.name(), request);
    execute(step.name(), policy.route(request, now));
  }

  private void execute(String name, Decision decision) {
    decisions.put(name, decision);
    if (decision instanceof Attempt attempt) {
      attempt.sentAt = now;
      requests.get(name).attempts.add(attempt);
      attempt.contactedCaches().forEach(cache -> sent.merge(cache, 1, Integer::sum));
    }
  }

  /**
   * Ends the latest outstanding attempt of the request, or attempt number N with {@code attempt=N}.
   * A served attempt completes the request.
   */
  private void endAttempt(ScenarioStep step) {
    step.allowOnly("detail", "duration", "source-wait", "attempt");
    Request request = requests.get(step.name());
    Outcome.Result result = ScenarioStep.constant(Outcome.Result.class, step.argument());
    Attempt attempt =
        step.has("attempt")
            ? request.attempts.get((int) step.number("attempt", 0))
            : latestOutstanding(request);
    attempt.outcome =
        new Outcome(
            result,
            step.constant(Outcome.Detail.class, "detail", "unknown"),
            step.millis("duration", 100),
            step.millisOrNull("source-wait"),
            result == Outcome.Result.SERVED);
    execute(step.name(), policy.onOutcome(request, attempt, now));
  }

  private static Attempt latestOutstanding(Request request) {
    return request.attempts.stream()
        .filter(attempt -> attempt.outcome == null)
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  private void checkDelay(ScenarioStep step) {
    Duration delay = policy.nextDecisionDelay(requests.get(step.name()), now);
    String found = delay == null ? "none" : delay.toMillis() > 0 ? "some" : "zero";
    check(step, found, step.argument());
  }

  private void checkMaySend(ScenarioStep step) {
    step.allowOnly("attempt");
    Request request = requests.get(step.name());
    Attempt attempt = request.attempts.get((int) step.number("attempt", 0));
    check(step, policy.mayStillSend(request, attempt, now) ? "yes" : "no", step.argument());
  }

  private void checkSent(ScenarioStep step) {
    step.allowOnly("min", "max");
    checks++;
    assertThat(sent.getOrDefault(caches.get(step.name()), 0))
        .as(step.text())
        .isBetween((int) step.number("min", 0), (int) step.number("max", Integer.MAX_VALUE));
  }

  private void expect(ScenarioStep step) {
    Decision decision = decisions.get(step.name());
    check(step, decision.getClass().getSimpleName().toLowerCase(Locale.ROOT), step.argument());
    for (String fact : step.wordsFrom(3)) {
      expectFact(step, decision, fact);
    }
  }

  /**
   * Checks a fact for equality with {@code =} or inequality with {@code !=}. A value {@code ?name}
   * binds the cache that was found to the name.
   */
  private void expectFact(ScenarioStep step, Decision decision, String fact) {
    boolean negated = fact.contains("!=");
    String key = fact.substring(0, fact.indexOf(negated ? "!=" : "="));
    String expected = fact.substring(fact.indexOf('=') + 1);
    Object found = fact(step, decision, key);
    if (expected.startsWith("?")) {
      boundCaches.put(expected.substring(1), (Cache) found);
    } else if (negated) {
      checks++;
      assertThat(found).as(step.text()).isNotEqualTo(cache(expected));
    } else if (found instanceof Cache) {
      check(step, found, cache(expected));
    } else {
      check(step, String.valueOf(found), expected);
    }
  }

  private static Object fact(ScenarioStep step, Decision decision, String key) {
    if (decision instanceof Attempt attempt) {
      return switch (key) {
        case "to" -> attempt.cache;
        case "from" -> attempt.source;
        case "rank" -> attempt.rank;
        case "only-if-cached" -> attempt.onlyIfCached ? "yes" : "no";
        case "revalidate" -> attempt.revalidate ? "yes" : "no";
        case "max-copy-age" -> attempt.maxCopyAge == null ? "any" : attempt.maxCopyAge.toMillis();
        default ->
            throw new IllegalArgumentException(
                "fact \"" + key + "\" of an attempt is unknown in step \"" + step.text() + "\"");
      };
    }
    if (decision instanceof Decision.Reject reject && key.equals("retry-after")) {
      return reject.retryAfter() == null ? "none" : "some";
    }
    throw new IllegalArgumentException(
        "fact \"" + key + "\" does not exist for " + decision + " in step \"" + step.text() + "\"");
  }

  private Cache cache(String name) {
    return boundCaches.getOrDefault(name, caches.get(name));
  }

  private void check(ScenarioStep step, Object found, Object expected) {
    checks++;
    assertThat(found).as(step.text()).isEqualTo(expected);
  }
}
