package tamarindroute.protocol;

/** A decoded command of a client. Its tag is unique among the requests open on the connection. */
public sealed interface ClientCommand {

  /** Decimal number that the response repeats. */
  String tag();

  /**
   * A request for a part of an object; its body follows in the same frame.
   *
   * @param requestClass name of the request class, as the client spelled it
   * @param fields undecoded field list, see {@link ClientProtocol#decodeCallFields}
   */
  record Call(String tag, String requestClass, String fields) implements ClientCommand {}

  /** The client no longer waits for the request of this tag and gets no response to it. */
  record Cancel(String tag) implements ClientCommand {}

  /** Checks whether the gateway accepts clients. */
  record HealthCheck(String tag) implements ClientCommand {}
}
