package tamarindroute.faultinjection;

/** Names of the fields of journal events. */
enum EventField {
  REQUEST_CLASS,
  BUDGET_MS,
  OBJECT,
  PART,
  /** Digest of the copy that the client holds, or that a response brought. */
  VERSION,
  /** Present if the client reads slowly. */
  SLOW_READER,
  /** The status word of a response, such as ACK. */
  STATUS,
  /** Present if a response tells the client that its copy is current. */
  NOT_MODIFIED,
  RETRY_AFTER,
  LENGTH,
  /** Whether a response's content belongs to some version of the requested part. */
  CONTENT_VALID,
  /** Tag of a response to no known request. */
  UNKNOWN_TAG,
  /** Number of an attempt; unique in the scenario. */
  ATTEMPT,
  /** The source that an attempt names for a fill. */
  PARENT,
  /** Age of the copies that an attempt accepts. */
  MAX_AGE_MS,
  /** Digest of the copy that an attempt's client holds. */
  HELD_DIGEST,
  /** Time for which an attempt's client still waits. */
  REMAINING_MS,
  /** The fault that a cache will inject. */
  PLANNED_FAULT,
  DIGEST,
  /** Wall-clock time at which a copy was made. */
  DATED_MS,
  /** How a connection ended. */
  HOW,
  /** Number of requests that were open. */
  OPEN_REQUESTS,
  EVENT_NUMBER,
  /** The cache that a feed event reports as draining or gone. */
  DRAINED_CACHE,
  STATE,
  PURGE_GROUP,
  /** Wall-clock time before which copies are invalid. */
  PURGED_AT_MS,
  /** Age of a purge when it was added to the feed. */
  PURGE_AGE_MS,
  /** The cache that a feed event reports as restarted. */
  RESTARTED_CACHE,
  EXIT_CODE,
  SECOND_COPIES,
  FAULT_PROBABILITY,
  FAULT,
  DURATION_MS,
  BEHAVIOR,
  PORT,
  ERROR
}
