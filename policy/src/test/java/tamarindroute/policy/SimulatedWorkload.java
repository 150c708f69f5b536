package tamarindroute.policy;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.numeric.Seconds;

/**
 * The objects of a simulation, their sizes and popularity, in two classes by turns: even objects
 * are larger and valued more. Sizes are in seconds of an undisturbed transfer.
 */
final class SimulatedWorkload {

  static final int OBJECTS = 3000;

  /** The longest that a client waits, in seconds. */
  static final double MAX_TIMEOUT = 5;

  private static final int CLASSES = 2;
  private static final double[] MEAN_SIZE = {0.34, 0.06};
  private static final double[] TRANSFER_TIME_FACTOR = {1.6, 2};
  private static final double[] TIMEOUT = {MAX_TIMEOUT, 2.5};
  private static final double[] VALUE = {2, 1};
  private static final double OBJECTIVE = 0.4;
  private static final double DEDUPLICATION_WINDOW = 3;

  /** Sizes are lognormal with this deviation, and at most so many times the mean. */
  private static final double SIZE_DEVIATION = 0.9;

  private static final double MAX_SIZE_FACTOR = 6;

  /** Popularity falls with this power of the rank. */
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
        Seconds.toDuration(keyedWithinCell ? DEDUPLICATION_WINDOW : 0),
        Seconds.toDuration(OBJECTIVE),
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
      sizes[i] = MEAN_SIZE[i % CLASSES] * Math.min(MAX_SIZE_FACTOR, factor);
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

  /** Returns the mean size of a request's object. */
  double meanWork() {
    return meanWork;
  }

  double meanSquaredWork() {
    return meanSquaredWork;
  }

  /** Draws an object by popularity. */
  int drawObject(Random random) {
    return draw(cumulativePopularity, random.nextDouble());
  }

  /** Returns the index that a fraction between 0 and 1 falls to by cumulative weights. */
  static int draw(double[] cumulativeWeights, double fraction) {
    double total = cumulativeWeights[cumulativeWeights.length - 1];
    int found = Arrays.binarySearch(cumulativeWeights, fraction * total);
    return found < 0 ? -found - 1 : found;
  }

  Request newRequest(int object, double now) {
    int index = object % CLASSES;
    double kilobytes = sizesKnown ? PolicySettingsBuilder.TRANSFER_RATE * sizes[object] : 0;
    return new Request(
        requestClasses[index],
        object,
        0,
        1,
        kilobytes,
        Seconds.toDuration(now),
        Seconds.toDuration(now + TIMEOUT[index]));
  }

  double value(int object) {
    return VALUE[object % CLASSES];
  }

  /** Returns the time within which an object has to be served, in seconds. */
  static double objective(Request request, double size) {
    return OBJECTIVE + request.requestClass.transferTimeFactor() * size;
  }
}
