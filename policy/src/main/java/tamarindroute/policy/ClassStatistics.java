package tamarindroute.policy;

/**
 * What is measured of a class: its transfers' time, how far they scatter, what share of them is
 * answered.
 */
final class ClassStatistics {

  /** Of a class's share its larger views are due two thirds on quiet days; this leaves room. */
  private static final double OWED = 0.7;

  /**
   * The mean time of a transfer alone, by told sizes, else by hits; until then as long as is
   * agreed.
   */
  double mean;

  /** Nine in ten hits take no longer than this many times what was expected of them. */
  double spread = 1.25;

  /** The share answered lately of all, of those over the mean sending time, and over twice that. */
  private final double[] answered = {1, 1, 1};

  private int samples;

  ClassStatistics(double target) {
    mean = target;
  }

  void transfer(double alone) {
    mean += Math.max(0.02, 1.0 / ++samples) * (alone - mean);
  }

  void hit(double took, double expected) {
    spread = Math.max(1.25, spread * Math.exp(0.05 * (took > spread * expected ? 0.9 : -0.1)));
  }

  private int size(double work) {
    return (int) Math.min(2, work / mean);
  }

  void ended(double work, boolean well) {
    answered[0] += 0.03 * ((well ? 1 : 0) - answered[0]);
    int size = size(work);
    answered[size] += size == 0 ? 0 : 0.03 * ((well ? 1 : 0) - answered[size]);
  }

  /** Whether views of this size are answered so seldom that it is their turn, in time or not. */
  boolean owed(double work) {
    return answered[size(work)] < OWED * answered[0];
  }
}
