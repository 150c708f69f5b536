package tamarindroute.faultinjection;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Draws the requests of scripted clients. */
final class RequestGenerator {

  private static final List<RequestClass> CLASSES = List.of(RequestClass.values());
  private static final int LARGE_BYTES = 10_000;
  private static final int LARGE_BUDGET_MS = 1400;
  private static final List<String> LARGE_OBJECTS =
      TestObjects.IDS.stream().filter(id -> TestObjects.length(id, 0) > LARGE_BYTES).toList();

  private final Map<String, String> copyVersions;

  /**
   * @param copyVersions digests of the copies that clients hold, by object and part
   */
  RequestGenerator(Map<String, String> copyVersions) {
    this.copyVersions = copyVersions;
  }

  /** A request for any object; about half are cacheable, some of these conditional. */
  ClientRequest next(SplittableRandom random) {
    String object = TestObjects.IDS.get(random.nextInt(TestObjects.IDS.size()));
    int part = random.nextInt(TestObjects.PARTS);
    RequestClass requestClass =
        random.nextInt(2) == 0
            ? RequestClass.CACHEABLE
            : CLASSES.get(random.nextInt(CLASSES.size()));
    boolean cacheable = requestClass == RequestClass.CACHEABLE;
    boolean conditional = cacheable && random.nextInt(3) == 0;
    String heldVersion = conditional ? copyVersions.get(object + part) : null;
    String id = randomId(random);
    int budgetMillis = random.nextInt(300, 2000);
    int bodyBytes = cacheable ? 0 : random.nextInt(2000);
    return new ClientRequest(id, requestClass, object, part, budgetMillis, heldVersion, bodyBytes);
  }

  /** A cacheable request with a large response. */
  ClientRequest nextLarge(SplittableRandom random) {
    String object = LARGE_OBJECTS.get(random.nextInt(LARGE_OBJECTS.size()));
    return new ClientRequest(
        randomId(random), RequestClass.CACHEABLE, object, 0, LARGE_BUDGET_MS, null, 0);
  }

  private static String randomId(SplittableRandom random) {
    return String.format("%016x", random.nextLong());
  }
}
