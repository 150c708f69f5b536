package tamarindroute.policy;

import java.time.Duration;
import java.util.List;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;

/** Decodes the settings and request classes of scenarios. Absent facts have default values. */
final class ScenarioValues {

  private ScenarioValues() {}

  /** Decodes a {@code settings} step. */
  static PolicySettings settings(ScenarioStep step) {
    step.allowOnly(
        "gateways",
        "zone-gateways",
        "rate",
        "link",
        "bypass",
        "sibling-fill",
        "sources",
        "hedging",
        "cancel",
        "retry-after",
        "attempts",
        "edge-start",
        "parent-start",
        "weights");
    return new PolicySettings(
        7,
        1,
        (int) step.number("gateways", 1),
        (int) step.number("zone-gateways", 1),
        List.of(0, 0),
        step.number("rate", 1000),
        step.number("link", 0),
        step.flag("bypass", false),
        step.flag("sibling-fill", true),
        step.flag("sources", true),
        step.flag("hedging", false),
        step.flag("cancel", true),
        step.millisOrNull("retry-after"),
        (int) step.number("attempts", 6),
        coldStart(step.text("edge-start", "0.2/10000/3/2000")),
        coldStart(step.text("parent-start", "0.1/20000/2/2000")),
        Duration.ofSeconds(6),
        step.constant(PolicySettings.WeightMeaning.class, "weights", "rough"));
  }

  /** Decodes {@code INITIAL-CAPACITY/WARM-AFTER/MULTIPLE/WINDOW} with the times in milliseconds. */
  private static PolicySettings.ColdStart coldStart(String text) {
    String[] parts = text.split("/", -1);
    return new PolicySettings.ColdStart(
        Double.parseDouble(parts[0]),
        Duration.ofMillis(Long.parseLong(parts[1])),
        Double.parseDouble(parts[2]),
        Duration.ofMillis(Long.parseLong(parts[3])));
  }

  /** Decodes a {@code class} step. */
  static RequestClass requestClass(ScenarioStep step) {
    step.allowOnly("cacheable", "scope", "window", "objective", "max-age");
    return new RequestClass(
        ScenarioStep.constant(RequestClass.Idempotency.class, step.argument()),
        step.constant(RequestClass.DeduplicationScope.class, "scope", "all"),
        step.millis("window", 3000),
        step.millis("objective", 500),
        2,
        step.flag("cacheable", true),
        step.millis("max-age", 0));
  }
}
