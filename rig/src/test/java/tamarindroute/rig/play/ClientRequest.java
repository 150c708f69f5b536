package tamarindroute.rig.play;

import tamarindroute.example.ToyServer;
import tamarindroute.rig.proxy.DeterministicRandom;

/**
 * A client's request.
 *
 * @param id its id
 * @param requestClass clip: idempotent; pick: keyed; once: non-idempotent
 * @param object id of the requested object
 * @param fields as the client protocol spells them
 */
record ClientRequest(String id, String requestClass, String object, String fields) {

  /** Time until a client gives up. */
  static final int BUDGET_MILLIS = 1500;

  private static final String IDEMPOTENT = "clip";
  private static final String KEYED = "pick";
  private static final String NON_IDEMPOTENT = "once";
  private static final double IDEMPOTENT_SHARE = 0.7;
  private static final double KEYED_SHARE = 0.15;

  private static final int FIRST_ID = 0x100000;
  private static final int FIRST_OBJECT = 0x1000;
  private static final int OBJECTS = 200;

  /** 850 KB at the settings' 8,500 KB/s: a sending time of 0.1 s. */
  private static final String SIZE_KB = "850";

  /** Draws the class and the object of a request. */
  static ClientRequest random(int number, DeterministicRandom random) {
    String id = ToyServer.paddedHex(Integer.toHexString(FIRST_ID + number));
    String requestClass = requestClass(random.next());
    double place = random.next();
    // Squared: some objects are requested far more often than others.
    int index = (int) (place * place * OBJECTS);
    String object = ToyServer.paddedHex(Integer.toHexString(FIRST_OBJECT + index));
    String fields =
        "rid=%s,budget=%d,obj=%s,piece=0,lot=17,mem=%s"
            .formatted(id, BUDGET_MILLIS, object, SIZE_KB);
    if (requestClass.equals(KEYED)) {
      fields += ",token=" + ToyServer.paddedHex(Integer.toHexString(number)).repeat(2);
    }
    return new ClientRequest(id, requestClass, object, fields);
  }

  private static String requestClass(double draw) {
    if (draw < IDEMPOTENT_SHARE) {
      return IDEMPOTENT;
    }
    return draw < IDEMPOTENT_SHARE + KEYED_SHARE ? KEYED : NON_IDEMPOTENT;
  }

  /** Reads have no body. */
  String body() {
    return requestClass.equals(IDEMPOTENT) ? "" : "x";
  }
}
