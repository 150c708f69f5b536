package tamarindroute.protocol;

/** Status of a response to a client. */
public enum ClientStatus {
  /** The whole part follows, or the client's own copy is current. */
  SERVED("ACK"),
  /** Nothing ran: trying again is harmless. */
  REJECTED("NAK"),
  /** The request may have run. */
  FAILED("FAIL"),
  /** Health check: the gateway accepts clients. */
  READY("GREEN"),
  /** Health check: the gateway is starting or draining. */
  NOT_READY("RED");

  private final String wireName;

  ClientStatus(String wireName) {
    this.wireName = wireName;
  }

  /** Spelling on the wire. */
  String wireName() {
    return wireName;
  }
}
