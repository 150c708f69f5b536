package tamarindroute.faultinjection;

/** The JSON texts of the control feed's events; N stands for an event's number. */
final class FeedMessages {

  private static final int WEIGHT = 40;

  private FeedMessages() {}

  /**
   * One endpoint of a list.
   *
   * @param startedMillis when the cache started, in wall-clock time; 0 if unknown
   */
  static String endpoint(ScriptedCache cache, String state, long startedMillis) {
    return "{\"id\":\""
        + cache.id
        + "\",\"addr\":\"127.0.0.1:"
        + cache.port
        + "\",\"zone\":\""
        + (cache.kind == ScriptedCache.Kind.EDGE ? "shed" : "hub")
        + "\",\"kind\":\""
        + cache.kind.configuredName()
        + "\",\"cell\":"
        + ScenarioContext.cellOf(cache.id)
        + ",\"state\":\""
        + state
        + "\",\"weight\":"
        + WEIGHT
        + ",\"started_ms\":"
        + startedMillis
        + "}";
  }

  /** An event that changes one endpoint. */
  static String endpointChange(int listVersion, String endpoint) {
    return "{\"n\":N,\"members\":{\"version\":"
        + listVersion
        + ",\"full\":false,\"servers\":["
        + endpoint
        + "]}}";
  }

  /** A purge of one object. */
  static String objectPurge(String object, long purgedAtMillis) {
    return "{\"n\":N,\"purge\":{\"key\":\"" + object + "\",\"at\":" + purgedAtMillis + "}}";
  }

  /** A purge of all objects of a group. */
  static String groupPurge(int group, long purgedAtMillis) {
    return "{\"n\":N,\"purge\":{\"group\":" + group + ",\"at\":" + purgedAtMillis + "}}";
  }
}
