package tamarindroute.faultinjection;

import tamarindroute.example.ToyServer;

/**
 * A request that a scripted client sends.
 *
 * @param budgetMillis time for which the client waits
 * @param bodyBytes length of the body, which is all zeros
 * @param heldVersion digest of the copy that the client holds; null if it holds none
 */
record ClientRequest(
    String id,
    RequestClass requestClass,
    String object,
    int part,
    int budgetMillis,
    String heldVersion,
    int bodyBytes) {

  private static final int BYTES_PER_MEMORY_UNIT = 1000;

  byte[] toFrame(String tag) {
    return ToyServer.frame(
        "RPC.CALL", tag, requestClass.configuredName, fields(), new byte[bodyBytes]);
  }

  private String fields() {
    return "rid="
        + id
        + ",budget="
        + budgetMillis
        + (requestClass.keyed ? ",token=" + id + id : "")
        + ",obj="
        + object
        + ",piece="
        + part
        + ",lot="
        + TestObjects.purgeGroup(object)
        + ",mem="
        + (1 + TestObjects.length(object, part) / BYTES_PER_MEMORY_UNIT)
        + (heldVersion == null ? "" : ",ver=" + heldVersion);
  }

  /** A frame of a valid request, for clients that send only a part of it. */
  static byte[] frameToTruncate(int tag, String id) {
    return ToyServer.frame(
        "RPC.CALL",
        tag,
        RequestClass.CACHEABLE.configuredName,
        "rid=" + id + ",budget=900,obj=" + TestObjects.IDS.get(0) + ",piece=0,lot=1,mem=1",
        "body");
  }
}
