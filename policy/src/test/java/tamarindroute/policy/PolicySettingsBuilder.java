package tamarindroute.policy;

import java.time.Duration;
import java.util.List;
import tamarindroute.decision.PolicySettings;

/**
 * Builds settings for tests. The defaults are those of a single gateway with approximate cache
 * weights.
 */
final class PolicySettingsBuilder {

  /** Rate of a transfer on an idle cache in all tests, in kB/s. */
  static final double TRANSFER_RATE_KB_PER_SECOND = 1000;

  private long seed = 1;
  private int gateways = 1;
  private double inboundLink;
  private boolean edgeBypass;
  private boolean siblingFill = true;
  private boolean fillSourceReported = true;
  private boolean hedging;
  private Duration maxRetryAfter;
  private PolicySettings.ColdStart edgeColdStart =
      new PolicySettings.ColdStart(1, Duration.ZERO, 3, Duration.ofSeconds(2));
  private PolicySettings.ColdStart parentColdStart = edgeColdStart;
  private PolicySettings.WeightMeaning weights = PolicySettings.WeightMeaning.ROUGH;

  PolicySettingsBuilder seed(long value) {
    seed = value;
    return this;
  }

  /** Sets the number of gateways, all in one zone. */
  PolicySettingsBuilder gateways(int value) {
    gateways = value;
    return this;
  }

  /** Sets the rate of the location's link for fills, in kB/s; 0 if unknown. */
  PolicySettingsBuilder inboundLink(double value) {
    inboundLink = value;
    return this;
  }

  PolicySettingsBuilder edgeBypass(boolean value) {
    edgeBypass = value;
    return this;
  }

  PolicySettingsBuilder siblingFill(boolean value) {
    siblingFill = value;
    return this;
  }

  PolicySettingsBuilder fillSourceReported(boolean value) {
    fillSourceReported = value;
    return this;
  }

  PolicySettingsBuilder hedging(boolean value) {
    hedging = value;
    return this;
  }

  PolicySettingsBuilder maxRetryAfter(Duration value) {
    maxRetryAfter = value;
    return this;
  }

  PolicySettingsBuilder coldStart(PolicySettings.ColdStart value) {
    return coldStart(value, value);
  }

  PolicySettingsBuilder coldStart(PolicySettings.ColdStart edge, PolicySettings.ColdStart parent) {
    edgeColdStart = edge;
    parentColdStart = parent;
    return this;
  }

  PolicySettingsBuilder weights(PolicySettings.WeightMeaning value) {
    weights = value;
    return this;
  }

  PolicySettings build() {
    return new PolicySettings(
        seed,
        0,
        gateways,
        gateways,
        List.of(0),
        TRANSFER_RATE_KB_PER_SECOND,
        inboundLink,
        edgeBypass,
        siblingFill,
        fillSourceReported,
        hedging,
        true,
        maxRetryAfter,
        8,
        edgeColdStart,
        parentColdStart,
        Duration.ofSeconds(6),
        weights);
  }
}
