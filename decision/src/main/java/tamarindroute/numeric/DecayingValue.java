package tamarindroute.numeric;

/** A value that decays exponentially toward a resting value. It is brought up to date on access. */
public final class DecayingValue {

  private final double timeConstant;
  private double value;
  private double rest;
  private double updatedAt;

  /**
   * Starts at the resting value, at time 0.
   *
   * @param timeConstant seconds in which the distance from the resting value falls to 1/e
   * @param rest the resting value
   */
  public DecayingValue(double timeConstant, double rest) {
    this.timeConstant = timeConstant;
    this.rest = rest;
    this.value = rest;
  }

  /** Returns the value at this time, in seconds; times never go back. */
  public double valueAt(double now) {
    value = rest + (value - rest) * Math.exp((updatedAt - now) / timeConstant);
    updatedAt = now;
    return value;
  }

  /** Returns the value at the time of the latest access. */
  public double lastValue() {
    return value;
  }

  /** Replaces the value as of the latest access. */
  public void reset(double newValue) {
    value = newValue;
  }

  /** Adds an amount at this time. */
  public void add(double amount, double now) {
    value = valueAt(now) + amount;
  }

  /** Moves this fraction of the way toward a sample. */
  public void blendToward(double sample, double fraction, double now) {
    add(fraction * (sample - valueAt(now)), now);
  }

  /** Moves the resting value, so that the value becomes its running mean. */
  public void shiftRest(double change, double now) {
    valueAt(now);
    rest += change;
  }

  /** Returns the resting value. */
  public double rest() {
    return rest;
  }
}
