package tamarindroute.faultinjection;

/** What a journal event reports; the comments name its fields. */
enum EventKind {
  /** A client wrote a complete request: REQUEST_CLASS, BUDGET_MS, OBJECT, PART, ... */
  REQUEST_SENT,
  /** A client wrote a cancel. */
  REQUEST_CANCELLED,
  /**
   * A client closed, reset or corrupted its connection: HOW. One event for each open request, and
   * one for the connection.
   */
  CLIENT_LEFT,
  /** A client read a complete response: STATUS, CONTENT_VALID, ... */
  RESPONSE_RECEIVED,
  /**
   * The gateway ended a client's connection: HOW. One event for each open request, and one for the
   * connection.
   */
  CONNECTION_ENDED,
  /** A cache read a complete attempt: ATTEMPT, PARENT, MAX_AGE_MS, HELD_DIGEST, ... */
  ATTEMPT_RECEIVED,
  /** A cache read a cancel: ATTEMPT. */
  CANCEL_RECEIVED,
  /** A cache wrote a complete response: ATTEMPT, STATUS, DIGEST, DATED_MS. */
  RESPONSE_SENT,
  /** A cache's connection ended while an attempt was open: ATTEMPT, HOW. */
  ATTEMPT_CONNECTION_LOST,
  /** The feed has a new event: EVENT_NUMBER, and what the event says. */
  FEED_EVENT_CREATED,
  /** The feed wrote a response that contains an event: EVENT_NUMBER. */
  FEED_EVENT_SENT,
  /** The program was sent SIGTERM. */
  TERMINATION_SIGNALLED,
  /** The program ended: EXIT_CODE. */
  PROCESS_EXITED,
  /** The machine delayed threads of the test or the program: DURATION_MS. */
  STALL,
  /** Information for readers of the journal. */
  NOTE
}
