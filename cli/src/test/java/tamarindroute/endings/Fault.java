package tamarindroute.endings;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * What a play may do to a gateway; it owns the names only, and must never hold how a fault is
 * carried out.
 */
enum Fault {
  // A cache's answers.
  MISS,
  FULL,
  ERROR,
  OVER,
  SILENT,
  LATE,
  TWICE,
  UNKNOWN_ID,
  HALF_HANG,
  HALF_CLOSE,
  HALF_RESET,
  RESET,
  RESET_LATER,
  CLOSE,
  GARBAGE,
  ENDLESS,
  DRIP,
  SPOILT_FIELDS,
  WRONG_UNCHANGED,
  BARE_UNCHANGED,
  // A cache's connections.
  UNREAD,
  REFUSE,
  ACCEPT_LATE,
  CLOSE_IDLE,
  CRASH,
  // Clients.
  CANCEL,
  BURST_CANCEL,
  LEAVE,
  LEAVE_RESET,
  CLIENT_GARBAGE,
  HALF_REQUEST,
  FLOOD,
  SLOW_READER,
  // The feed.
  FEED_SILENT,
  FEED_CLOSE,
  FEED_HALF,
  FEED_MOVE,
  FEED_OMIT,
  DRAIN,
  PURGE,
  RESTART,
  // The end.
  TERM_BUSY,
  TERM_LATE_BYTES,
  TERM_HALF,
  TERM_UNREAD;

  static final Set<Fault> ANSWERS =
      Collections.unmodifiableSet(EnumSet.range(MISS, BARE_UNCHANGED));
  static final Set<Fault> CONNECTIONS = Collections.unmodifiableSet(EnumSet.range(UNREAD, CRASH));
  static final Set<Fault> CLIENTS = Collections.unmodifiableSet(EnumSet.range(CANCEL, SLOW_READER));
  static final Set<Fault> FEED = Collections.unmodifiableSet(EnumSet.range(FEED_SILENT, RESTART));
  static final Set<Fault> END = Collections.unmodifiableSet(EnumSet.range(TERM_BUSY, TERM_UNREAD));
}
