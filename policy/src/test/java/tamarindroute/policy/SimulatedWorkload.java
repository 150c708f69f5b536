package tamarindroute.policy;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.numeric.Seconds;

/**
 * The objects of a simulation with their sizes and popularity. Objects with even numbers are of a
 * class of larger and more valuable objects, the others of a class of smaller ones. Sizes are in
 * seconds of transfer on an idle cache.
 */
final class SimulatedWorkload {

  static final int OBJECTS = 3000;

  /** Longest time that a client waits. */
  static final double MAX_TIMEOUT_SECONDS = 5;

  private static final int CLASSES = 2;

  /** Mean size of the objects of each class. */
  private static final double[] MEAN_SIZE_SECONDS = {0.34, 0.06};

  /** Multiple of the transfer time that is added to the latency objective of each class. */
  private static final double[] TRANSFER_TIME_FACTOR = {1.6, 2};

  /** Time that a client of each class waits. */
  private static final double[] TIMEOUT_SECONDS = {MAX_TIMEOUT_SECONDS, 2.5};

  /** Value of serving a request of each class within its latency objective. */
  private static final double[] VALUE = {2, 1};

  private static final double OBJECTIVE_SECONDS = 0.4;
  private static final double DEDUPLICATION_WINDOW_SECONDS = 3;

  /** Standard deviation of the logarithm of sizes, which are lognormal. */
  private static final double SIZE_DEVIATION = 0.9;

  /** Largest size as a multiple of the mean of the class. */
  private static final double MAX_SIZE_FACTOR = 6;

  /** Exponent of the power of the rank by which popularity falls. */
  private static final double ZIPF_EXPONENT = 0.9;

  private final boolean sizesKnown;
  private final RequestClass[] requestClasses = new RequestClass[CLASSES];
  private final double[] cumulativePopularity = new double[OBJECTS];
  private final double[] sizes = new double[OBJECTS];
  private double meanWork;
  private double meanSquaredWork;

  SimulatedWorkload(SimulationPlan plan) {
    sizesKnown = plan.areSizesKnown();
    for (int i = 0; i < CLASSES; i++) {
      requestClasses[i] = requestClass(plan.isKeyedWithinCell(), TRANSFER_TIME_FACTOR[i]);
    }
    drawObjects();
  }

  private static RequestClass requestClass(boolean keyedWithinCell, double transferTimeFactor) {
    return new RequestClass(
        keyedWithinCell ? RequestClass.Idempotency.KEYED : RequestClass.Idempotency.IDEMPOTENT,
        keyedWithinCell
            ? RequestClass.DeduplicationScope.CELL
            : RequestClass.DeduplicationScope.ALL,
        Seconds.toDuration(keyedWithinCell ? DEDUPLICATION_WINDOW_SECONDS : 0),
        Seconds.toDuration(OBJECTIVE_SECONDS),
        transferTimeFactor,
        true,
        Duration.ZERO);
  }

  private void drawObjects() {
    double popularity = 0;
    double work = 0;
    double squaredWork = 0;
    for (int i = 0; i < OBJECTS; i++) {
      Random random = new Random(i * 31L + 7);
      double factor =
          Math.exp(SIZE_DEVIATION * random.nextGaussian() - SIZE_DEVIATION * SIZE_DEVIATION / 2);
      sizes[i] = MEAN_SIZE_SECONDS[i % CLASSES] * Math.min(MAX_SIZE_FACTOR, factor);
      double share = Math.pow(i / CLASSES + 1, -ZIPF_EXPONENT);
      popularity += share;
      cumulativePopularity[i] = popularity;
      work += share * sizes[i];
      squaredWork += share * sizes[i] * sizes[i];
    }
    meanWork = work / popularity;
    meanSquaredWork = squaredWork / popularity;
  }

  double size(int object) {
    return sizes[object];
  }

  double totalSize() {
    return Arrays.stream(sizes).sum();
  }

  /** Returns the mean size of the object of a request. */
  double meanWork() {
    return meanWork;
  }

  /**
   * Returns the allowance for random scatter of a load, both in seconds of transfer: two standard
   * deviations and two requests.
   */
  double coldLoadScatter(double limit) {
    return 2 * Math.sqrt(limit * meanSquaredWork / meanWork) + 2 * meanWork;
  }

  /** Returns a random object, drawn by popularity. */
  int drawObject(Random random) {
    return draw(cumulativePopularity, random.nextDouble());
  }

  /** Returns the index that is drawn by a fraction between 0 and 1 from cumulative weights. */
  static int draw(double[] cumulativeWeights, double fraction) {
    double total = cumulativeWeights[cumulativeWeights.length - 1];
    int found = Arrays.binarySearch(cumulativeWeights, fraction * total);
    return found < 0 ? -found - 1 : found;
  }

  Request newRequest(int object, double now) {
    int index = object % CLASSES;
    double kilobytes =
        sizesKnown ? PolicySettingsBuilder.TRANSFER_RATE_KB_PER_SECOND * sizes[object] : 0;
    return new Request(
        requestClasses[index],
        object,
        0,
        1,
        kilobytes,
        Seconds.toDuration(now),
        Seconds.toDuration(now + TIMEOUT_SECONDS[index]));
  }

  double value(int object) {
    return VALUE[object % CLASSES];
  }

  /**
   * Returns the time from arrival within which a request for an object of this size has to be
   * served, in seconds.
   */
  static double objective(Request request, double size) {
    return OBJECTIVE_SECONDS + request.requestClass.transferTimeFactor() * size;
  }
}
