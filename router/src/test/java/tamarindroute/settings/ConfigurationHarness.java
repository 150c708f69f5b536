package tamarindroute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.policy.RatioTestPolicy;

/** The example's configuration, changed in places, and what a gateway must be able to do by it. */
abstract class ConfigurationHarness {

  private static final Duration NOW = Duration.ofSeconds(10);

  @TempDir Path folder;

  /** The example's configuration. */
  static JsonObject whole() throws Exception {
    return JsonParser.parseString(Files.readString(Path.of("example/config.json")))
        .getAsJsonObject();
  }

  /**
   * The example's configuration with another value at a path.
   *
   * @param path names and indexes with slashes between them
   * @param value as JSON; null to remove the value
   */
  static JsonObject with(String path, String value) throws Exception {
    JsonObject whole = whole();
    String[] steps = path.split("/");
    JsonElement element = whole;
    for (int i = 0; i + 1 < steps.length; i++) {
      element =
          element.isJsonArray()
              ? element.getAsJsonArray().get(Integer.parseInt(steps[i]))
              : element.getAsJsonObject().get(steps[i]);
    }
    String last = steps[steps.length - 1];
    if (element instanceof JsonArray list) {
      if (value == null) {
        list.remove(Integer.parseInt(last));
      } else {
        list.set(Integer.parseInt(last), JsonParser.parseString(value));
      }
    } else if (value == null) {
      element.getAsJsonObject().remove(last);
    } else {
      element.getAsJsonObject().add(last, JsonParser.parseString(value));
    }
    return whole;
  }

  /** Reads a configuration from a file. */
  PlatformConfiguration read(Object text) throws Exception {
    return PlatformConfiguration.read(
        Files.writeString(folder.resolve("config.json"), text.toString()).toString());
  }

  /** Asserts that the values make sense and that a policy handles its first requests by them. */
  static void assertWorks(PlatformConfiguration configuration, String description)
      throws Exception {
    SettingsReader reader = configuration.settings();
    PolicySettings settings = reader.settings(configuration.seed());
    assertPlatformMakesSense(configuration, description);
    assertLimitsMakeSense(reader, settings, description);
    assertTimesMakeSense(reader, settings, description);
    assertThat(reader.requestClassesByName()).as(description).isNotEmpty();
    RatioTestPolicy policy = newPolicy(settings);
    int attempts = 0;
    for (RequestClass requestClass : reader.requestClassesByName().values()) {
      assertClassMakesSense(requestClass, description);
      attempts += assertRequestsEnd(policy, requestClass, settings.maxAttempts(), description);
    }
    assertThat(attempts).as(description).isPositive();
  }

  private static void assertPlatformMakesSense(
      PlatformConfiguration configuration, String description) {
    assertThat(configuration.listen().isUnresolved() || configuration.feed().isUnresolved())
        .as(description)
        .isFalse();
    assertThat(configuration.memoryBytes()).as(description).isPositive();
    assertThat(configuration.descriptorLimit()).as(description).isPositive();
  }

  private static void assertLimitsMakeSense(
      SettingsReader reader, PolicySettings settings, String description) throws Exception {
    assertThat(
            List.of(
                reader.maxInFlight(),
                reader.maxRequestsPerConnection(),
                settings.maxAttempts(),
                settings.gatewayCount(),
                settings.zoneGatewayCount()))
        .as(description)
        .allMatch(n -> n >= 1);
    assertThat(settings.zone()).as(description).isBetween(0, reader.zones().size() - 1);
  }

  private static void assertTimesMakeSense(
      SettingsReader reader, PolicySettings settings, String description) throws Exception {
    assertThat(reader.longestDeadline())
        .as(description)
        .isPositive()
        .isLessThan(Duration.ofDays(3651));
    assertThat(reader.connectTimeout()).as(description).isPositive();
    assertThat(reader.keepAlive().isNegative()).as(description).isFalse();
    assertThat(settings.purgePropagationTime().isNegative()).as(description).isFalse();
    assertThat(settings.maxRetryAfter() == null || !settings.maxRetryAfter().isNegative())
        .as(description)
        .isTrue();
    for (PolicySettings.ColdStart start :
        List.of(settings.edgeColdStart(), settings.parentColdStart())) {
      assertThat(start.initialCapacity()).as(description).isBetween(0.0, 1.0);
      assertThat(start.overloadMultiple()).as(description).isPositive();
      assertThat(start.overloadWindow()).as(description).isPositive();
      assertThat(start.warmAfter().isNegative()).as(description).isFalse();
    }
  }

  private static void assertClassMakesSense(RequestClass requestClass, String description) {
    assertThat(
            requestClass.deduplicationWindow().isNegative() || requestClass.maxAge().isNegative())
        .as(description)
        .isFalse();
    assertThat(requestClass.latencyObjective()).as(description).isPositive();
    assertThat(requestClass.transferTimeFactor()).as(description).isBetween(0.0, 1e12);
  }

  /** A policy that knows two edges, a parent and the origin, and a purge. */
  private static RatioTestPolicy newPolicy(PolicySettings settings) {
    RatioTestPolicy policy = new RatioTestPolicy(settings);
    List<Cache> caches = new ArrayList<>();
    for (Cache.Tier tier :
        List.of(Cache.Tier.EDGE, Cache.Tier.EDGE, Cache.Tier.PARENT, Cache.Tier.ORIGIN)) {
      Cache cache = new Cache(caches.size());
      cache.tier = tier;
      cache.zone = tier == Cache.Tier.EDGE ? settings.zone() : 0;
      caches.add(cache);
    }
    caches.get(0).startedAt = Duration.ofSeconds(9);
    policy.onEndpoints(caches, NOW);
    policy.onPurge(new Purge(3L, -1, NOW), NOW);
    return policy;
  }

  /** Routes requests whose attempts are all rejected; returns how many attempts there were. */
  private static int assertRequestsEnd(
      RatioTestPolicy policy, RequestClass requestClass, int maxAttempts, String description) {
    int attempts = 0;
    for (int i = 0; i < 20; i++) {
      Request request = new Request(requestClass, i, 0, 1, 100, NOW, NOW.plusSeconds(2));
      Decision decision = policy.route(request, NOW);
      while (decision instanceof Attempt attempt) {
        attempts++;
        attempt.sentAt = NOW;
        request.attempts.add(attempt);
        attempt.outcome =
            new Outcome(
                Outcome.Result.REJECTED, Outcome.Detail.UNKNOWN, Duration.ofMillis(1), null, false);
        decision = policy.onOutcome(request, attempt, NOW);
      }
      assertThat(decision).as(description).isNotNull();
      assertThat(request.attempts.size()).as(description).isLessThanOrEqualTo(maxAttempts);
    }
    return attempts;
  }
}
