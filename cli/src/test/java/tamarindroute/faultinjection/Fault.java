package tamarindroute.faultinjection;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/** The faults that a scenario can inject, in groups by who injects them. */
enum Fault {
  // Responses of a cache.
  MISS,
  OVER_CAPACITY,
  ERROR,
  STALE,
  SILENT,
  LATE,
  DUPLICATE_RESPONSE,
  UNKNOWN_ID,
  PARTIAL_THEN_HANG,
  PARTIAL_THEN_CLOSE,
  PARTIAL_THEN_RESET,
  RESET,
  RESET_LATER,
  CLOSE,
  GARBAGE,
  ENDLESS,
  DRIP,
  MALFORMED_FIELDS,
  NOT_MODIFIED_WRONG_DIGEST,
  NOT_MODIFIED_NO_DIGEST,
  // Connections of a cache.
  PAUSE_READING,
  REFUSE,
  DELAYED_ACCEPT,
  CLOSE_IDLE,
  CRASH,
  // Clients.
  CANCEL,
  BURST_CANCEL,
  DISCONNECT,
  DISCONNECT_RESET,
  CLIENT_GARBAGE,
  PARTIAL_REQUEST,
  FLOOD,
  SLOW_READER,
  // The control feed.
  FEED_SILENT,
  FEED_CLOSE,
  FEED_PARTIAL,
  FEED_MOVE,
  FEED_GAP,
  DRAIN,
  PURGE,
  RESTART,
  // Clients during the program's shutdown.
  TERM_BUSY,
  TERM_LATE_BYTES,
  TERM_PARTIAL_REQUEST,
  TERM_UNREAD_RESPONSE;

  static final Set<Fault> RESPONSE_FAULTS = range(MISS, NOT_MODIFIED_NO_DIGEST);
  static final Set<Fault> CONNECTION_FAULTS = range(PAUSE_READING, CRASH);
  static final Set<Fault> CLIENT_FAULTS = range(CANCEL, SLOW_READER);
  static final Set<Fault> FEED_FAULTS = range(FEED_SILENT, RESTART);

  private static Set<Fault> range(Fault first, Fault last) {
    return Collections.unmodifiableSet(EnumSet.range(first, last));
  }
}
