package tamarindroute.decision;

import java.time.Duration;

/** How a trip came back; sourceWait is null where it is not told. */
public record Outcome(
    Result result, Detail detail, Duration took, Duration sourceWait, boolean closed) {

  public enum Result {
    HONOURED(false),
    ERRED(false),
    TURNED_AWAY(true),
    TIMED_OUT(false),
    UNREACHED(true),
    BROKEN(false),
    RECALLED(false),
    NOT_SENT(true),
    /** It came to the cache, which did not run it: its time was over. */
    EXPIRED(true),
    MISSED(true);

    /** Whether it proves that the view did not run. */
    public final boolean provesNotRun;

    Result(boolean provesNotRun) {
      this.provesNotRun = provesNotRun;
    }
  }

  public enum Detail {
    UNTOLD,
    HIT,
    FILLED,
    FROM_ORIGIN,
    JOINED,
    OLD,
    SOURCE_REFUSED,
    SOURCE_FAILED,
    SOURCE_LACKS,
    NO_ROOM_FOR_FILL,
    ORIGIN_FAILED
  }
}
