package tamarindroute.protocol;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome.Detail;

/**
 * Response of a cache to a request or a health check, without its body. Each field is decoded where
 * it is read, since a cache that spells one wrongly may still have served the request.
 */
public final class CacheResponse {

  private static final String DETAIL = "why";
  private static final String SOURCE_WAIT_MILLIS = "first";
  private static final String COPY_TAG = "digest";
  private static final String CREATED_UNIX_MILLIS = "dated";
  private static final String LOAD_REPORT = "rep";

  private static final String HIT = "hit";
  private static final String UTILIZATION = "util";
  private static final String UTILIZATION_LONG = "utilization";
  private static final String OUTSTANDING = "inflight";
  private static final String OUTSTANDING_LONG = "outstanding";

  private static final Map<String, Detail> DETAILS =
      Map.of(
          HIT,
          Detail.HIT,
          "filled",
          Detail.FILLED,
          "via_origin",
          Detail.FROM_ORIGIN,
          "joined",
          Detail.COALESCED,
          "stale",
          Detail.STALE,
          "src_refused",
          Detail.SOURCE_REFUSED,
          "src_broke",
          Detail.SOURCE_FAILED,
          "src_lacks",
          Detail.SOURCE_MISS,
          "no_slot",
          Detail.FILL_CAPACITY_EXHAUSTED,
          "origin_failed",
          Detail.ORIGIN_FAILED);

  private static final double MAX_SOURCE_WAIT_MILLIS = 1e6;

  /** A date some millennia ahead; a larger number is none. */
  private static final double MAX_UNIX_MILLIS = 1e14;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MAX_UTILIZATION = 100;
  private static final double MAX_OUTSTANDING = 1e6;

  /** No value of a report is negative. */
  private static final double ABSENT = -1;

  private final CacheStatus status;
  private final boolean healthy;
  private final FieldList fields;

  /** Stands for a response that can't be decoded: the request may have run. */
  public static final CacheResponse MALFORMED =
      new CacheResponse(CacheStatus.UNKNOWN, false, new FieldList());

  CacheResponse(CacheStatus status, boolean healthy, FieldList fields) {
    this.status = status;
    this.healthy = healthy;
    this.fields = fields;
  }

  /** Fields of the response that a cache makes from a copy it holds. */
  public static FieldList hitFields(String copyTag, long copyCreatedUnixMillis) {
    return new FieldList()
        .with(DETAIL, HIT)
        .with(COPY_TAG, copyTag)
        .with(CREATED_UNIX_MILLIS, copyCreatedUnixMillis);
  }

  /** Status of a response to a request. */
  public CacheStatus status() {
    return status;
  }

  /** Whether a response to a health check says that the cache is ready. */
  public boolean isHealthy() {
    return healthy;
  }

  /**
   * How the cache came to its result; {@link Detail#UNKNOWN} if it names none or one that is
   * unknown.
   */
  public Detail detail() {
    String name = fields.text(DETAIL);
    return name == null ? Detail.UNKNOWN : DETAILS.getOrDefault(name, Detail.UNKNOWN);
  }

  /** Tag of the copy served; null if absent. */
  public String copyTag() {
    return fields.text(COPY_TAG);
  }

  /**
   * Time that the cache waited for its source. Zero counts as absent, as in the simulator's
   * outcomes.
   *
   * @throws MalformedMessageException if the field is not a number within its range
   */
  public Optional<Duration> sourceWait() throws MalformedMessageException {
    double millis = fields.number(SOURCE_WAIT_MILLIS, 0, MAX_SOURCE_WAIT_MILLIS);
    return millis == 0
        ? Optional.empty()
        : Optional.of(Duration.ofNanos((long) (millis * NANOS_PER_MILLI)));
  }

  /**
   * Unix time at which the origin gave out the copy served, in milliseconds.
   *
   * @throws MalformedMessageException if the field is not a number within its range
   */
  public OptionalLong copyCreatedUnixMillis() throws MalformedMessageException {
    if (fields.text(CREATED_UNIX_MILLIS) == null) {
      return OptionalLong.empty();
    }
    return OptionalLong.of((long) fields.number(CREATED_UNIX_MILLIS, 0, MAX_UNIX_MILLIS));
  }

  /**
   * The cache's report on its own load, written as {@code name:value} pairs joined by semicolons.
   *
   * @throws MalformedMessageException if the report is not of that form or a value is out of its
   *     range
   */
  public Optional<LoadReport> loadReport() throws MalformedMessageException {
    String text = fields.text(LOAD_REPORT);
    if (text == null) {
      return Optional.empty();
    }
    FieldList values = FieldList.parse(text.replace(':', '=').replace(';', ','));
    LoadReport report =
        new LoadReport(
            reportValue(values, UTILIZATION, UTILIZATION_LONG, MAX_UTILIZATION),
            reportValue(values, OUTSTANDING, OUTSTANDING_LONG, MAX_OUTSTANDING));
    return report.hasValues() ? Optional.of(report) : Optional.empty();
  }

  /** Value under its short or else its long name; not a number if absent. */
  private static double reportValue(FieldList values, String name, String longName, double max)
      throws MalformedMessageException {
    double value = values.number(name, values.number(longName, ABSENT, max), max);
    return value == ABSENT ? Double.NaN : value;
  }
}
