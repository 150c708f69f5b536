package tamarindroute.numeric;

/** A value that returns to its rest exponentially; it is brought up to date when it is read. */
public final class DecayingValue {

  /** As of the latest call of {@link #read}. */
  public double value;

  private final double timeConstant;
  private double rest;
  private double updatedAt;

  /**
   * Starts at its rest.
   *
   * @param timeConstant in which the distance from the rest falls to 1/e, in seconds
   * @param rest the value it returns to
   */
  public DecayingValue(double timeConstant, double rest) {
    this.timeConstant = timeConstant;
    this.rest = rest;
    this.value = rest;
  }

  /** The value at this time, in seconds; times never go back. */
  public double valueAt(double now) {
    value = rest + (value - rest) * Math.exp((updatedAt - now) / timeConstant);
    updatedAt = now;
    return value;
  }

  public void add(double amount, double now) {
    value = valueAt(now) + amount;
  }

  /** Moves by this part of the way toward a sample. */
  public void blendToward(double sample, double fraction, double now) {
    add(fraction * (sample - valueAt(now)), now);
  }

  /** Moves the rest, so that the value becomes the rest's mean over the span. */
  public void shiftRest(double change, double now) {
    valueAt(now);
    rest += change;
  }

  public double rest() {
    return rest;
  }
}
