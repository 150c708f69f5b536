package tamarindroute.wirehost;

/** The kinds of events on the simulator's wire, with their codes. */
enum EventCode {
  /** An instance starts. */
  OPEN_INSTANCE(16),
  /** The list of caches of an instance has changed. */
  ENDPOINTS_CHANGED(17),
  /** A client's request has arrived. */
  ARRIVAL(18),
  /** The response to a streamed request has begun. */
  STARTED(19),
  /** An attempt has ended. */
  OUTCOME(20),
  /** A client has gone before the end of its request. */
  CLIENT_GONE(21),
  /** A timer has fired. */
  TIMER(22),
  /** A health check has ended. */
  HEALTH(23),
  /** Another instance has sent a message. */
  PEER_MESSAGE(24),
  /** An instance has ended. */
  CLOSE_INSTANCE(25),
  /** An object or a group was purged. */
  PURGE(26),
  /** Defines a list of caches for later events of any instance. */
  DEFINE_LIST(27);

  private static final int MAX_CODE = 27;
  private static final EventCode[] BY_CODE = new EventCode[MAX_CODE + 1];

  static {
    for (EventCode kind : values()) {
      BY_CODE[kind.code] = kind;
    }
  }

  private final int code;

  EventCode(int code) {
    this.code = code;
  }

  /**
   * The kind of event of this code.
   *
   * @throws MalformedFrameException if there is none
   */
  static EventCode of(int code) throws MalformedFrameException {
    EventCode kind = code < 0 || code > MAX_CODE ? null : BY_CODE[code];
    if (kind == null) {
      throw new MalformedFrameException("no event has the code " + code);
    }
    return kind;
  }
}
