package tamarindroute.gateway;

import java.net.InetSocketAddress;

/** The first event of a control feed: a whole list of caches, as text. */
final class EndpointList {

  private EndpointList() {}

  /** A list of these entries. */
  static String of(String... entries) {
    return "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,\"servers\":["
        + String.join(",", entries)
        + "]}}]}";
  }

  /** Entry of a ready cache; its kind is edge, parent or origin. */
  static String entry(String id, String kind, InetSocketAddress address) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + address.getPort()
        + "\",\"zone\":\"shed\",\"kind\":\""
        + kind
        + "\",\"cell\":0,\"state\":\"ready\",\"weight\":40,\"started_ms\":0}";
  }
}
