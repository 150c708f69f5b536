package tamarindroute.decision;

import java.time.Duration;

/**
 * What the operators agreed for one kind of view; the agreed time grows by stretch times the
 * sending time.
 */
public record Profile(
    Repeat repeat,
    Group group,
    Duration window,
    Duration agreedTime,
    double stretch,
    boolean kept,
    Duration fresh) {

  /** What a second run would do. */
  public enum Repeat {
    REISSUABLE,
    NUMBERED,
    AT_MOST_ONCE
  }

  /** The caches that know a numbered view again. */
  public enum Group {
    ALL,
    ZONE,
    CELL;

    /** Whether a repeat at the other cache is known again. */
    public boolean joins(Cache one, Cache other) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> one.zone == other.zone;
        case CELL -> one.cell == other.cell;
      };
    }
  }
}
