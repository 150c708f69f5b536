package tamarindroute.faultinjection;

import tamarindroute.example.ToyServer;

/**
 * A scripted cache's response.
 *
 * @param status the status word, such as ACK
 * @param fields the response's fields as they are written
 * @param digest the digest that the fields name; null if they name none
 * @param bodyBytes length of the body, whose content the digest determines; 0 for no body
 * @param datedMillis when the copy was made, in wall-clock time; 0 if there is none
 */
record CacheResponse(String status, String fields, String digest, int bodyBytes, long datedMillis) {

  private static final String NO_FIELDS = "-";

  /** A response that consists of its status. */
  static CacheResponse ofStatus(String status) {
    return new CacheResponse(status, NO_FIELDS, null, 0, 0);
  }

  /** A response without a body that tells that the client's copy is current. */
  static CacheResponse notModified(String fields, String digest, long datedMillis) {
    return new CacheResponse("NOMOD", fields, digest, 0, datedMillis);
  }

  byte[] toFrame(String requestId) {
    byte[] body = bodyBytes == 0 ? new byte[0] : TestObjects.content(digest, bodyBytes);
    return ToyServer.frame(requestId, status, fields, body);
  }
}
