package tamarindroute.numeric;

/**
 * A value that decays exponentially toward a resting value. The value is updated on access. Times
 * are in seconds and must not decrease.
 */
public final class DecayingValue {

  private final double timeConstantSeconds;
  private double value;
  private double rest;
  private double updatedAt;

  /**
   * Creates a value that is at its resting value at time 0.
   *
   * @param timeConstantSeconds time in which the distance from the resting value falls to 1/e of it
   * @param rest the resting value
   */
  public DecayingValue(double timeConstantSeconds, double rest) {
    this.timeConstantSeconds = timeConstantSeconds;
    this.rest = rest;
    this.value = rest;
  }

  /** Returns the value at this time. */
  public double valueAt(double now) {
    value = rest + (value - rest) * Math.exp((updatedAt - now) / timeConstantSeconds);
    updatedAt = now;
    return value;
  }

  /** Returns the value as of the latest access, without updating it. */
  public double lastValue() {
    return value;
  }

  /** Replaces the value as of the latest access. */
  public void reset(double newValue) {
    value = newValue;
  }

  /** Adds an amount to the value at this time. */
  public void add(double amount, double now) {
    value = valueAt(now) + amount;
  }

  /**
   * Moves the value toward a sample.
   *
   * @param fraction share of the distance to the sample, 0 to 1
   */
  public void blendToward(double sample, double fraction, double now) {
    add(fraction * (sample - valueAt(now)), now);
  }

  /**
   * Changes the resting value. The value thereby follows as an exponential moving average of the
   * resting value.
   *
   * @param change amount that is added to the resting value
   */
  public void shiftRest(double change, double now) {
    valueAt(now);
    rest += change;
  }

  /** Returns the resting value. */
  public double rest() {
    return rest;
  }
}
