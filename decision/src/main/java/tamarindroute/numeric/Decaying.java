package tamarindroute.numeric;

/** A value that returns to its rest exponentially; it is brought up to date when it is read. */
public final class Decaying {

  /** As of the latest call of {@link #read}. */
  public double value;

  private final double span;
  private double rest;
  private double at;

  /**
   * Starts at its rest.
   *
   * @param span in which the distance from the rest falls to 1/e, in seconds
   * @param rest the value it returns to
   */
  public Decaying(double span, double rest) {
    this.span = span;
    this.rest = rest;
    this.value = rest;
  }

  /** The value at this time, in seconds; times never go back. */
  public double read(double now) {
    value = rest + (value - rest) * Math.exp((at - now) / span);
    at = now;
    return value;
  }

  public void add(double amount, double now) {
    value = read(now) + amount;
  }

  /** Moves by this part of the way toward a sample. */
  public void blend(double sample, double part, double now) {
    add(part * (sample - read(now)), now);
  }

  /** Moves the rest, so that the value becomes the rest's mean over the span. */
  public void shift(double change, double now) {
    read(now);
    rest += change;
  }

  public double rest() {
    return rest;
  }
}
