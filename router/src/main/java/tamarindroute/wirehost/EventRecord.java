package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;

/**
 * Decodes one event record of the simulator's wire. Which fields a record has depends on its code;
 * a field must be read from records of its own kinds only. All numbers are little-endian.
 */
final class EventRecord {

  private static final int CODE = 0;
  private static final int INSTANCE = 1;

  private static final int OPEN_SEED = 3;
  private static final int OPEN_SETTINGS = 11;

  private static final int DEFINE_SLOT = 1;
  private static final int DEFINE_ENTRIES = 5;

  private static final int ENDPOINTS_SLOT = 3;
  private static final int ENDPOINTS_KIND = 7;

  private static final int REQUEST_ID = 3;

  private static final int ARRIVAL_CLASS = 7;
  private static final int ARRIVAL_OBJECT = 12;
  private static final int ARRIVAL_TIME_LEFT = 20;
  private static final int ARRIVAL_PART = 28;
  private static final int ARRIVAL_GROUP = 32;
  private static final int ARRIVAL_KILOBYTES = 36;

  private static final int OUTCOME_ATTEMPT = 7;
  private static final int OUTCOME_CACHE = 8;
  private static final int OUTCOME_RESULT = 12;
  private static final int OUTCOME_DURATION = 14;
  private static final int OUTCOME_COMPLETED = 22;
  private static final int OUTCOME_DETAIL = 23;
  private static final int OUTCOME_SOURCE_WAIT = 27;
  private static final int OUTCOME_LOAD_REPORT = 35;

  private static final int TIMER_COOKIE = 3;

  private static final int HEALTH_CACHE = 3;
  private static final int HEALTH_LOAD_REPORT = 17;

  private static final int PURGE_OBJECT = 3;
  private static final int PURGE_GROUP = 11;
  private static final int PURGE_AGE = 13;

  /** The details of an outcome by their numbers on the wire; 0 and higher numbers are unknown. */
  private static final List<Detail> DETAILS =
      List.of(
          Detail.UNKNOWN,
          Detail.HIT,
          Detail.FILLED,
          Detail.FROM_ORIGIN,
          Detail.COALESCED,
          Detail.STALE,
          Detail.SOURCE_REFUSED,
          Detail.SOURCE_FAILED,
          Detail.SOURCE_MISS,
          Detail.FILL_CAPACITY_EXHAUSTED,
          Detail.ORIGIN_FAILED);

  private final ByteBuffer bytes;

  EventRecord(ByteBuffer bytes) {
    this.bytes = bytes;
  }

  EventCode code() throws MalformedFrameException {
    return EventCode.of(Byte.toUnsignedInt(bytes.get(CODE)));
  }

  /** Of all events but DEFINE_LIST. */
  int instance() {
    return Short.toUnsignedInt(bytes.getShort(INSTANCE));
  }

  /** Of OPEN_INSTANCE: the seed of the instance's random decisions. */
  long seed() {
    return bytes.getLong(OPEN_SEED);
  }

  /** Of OPEN_INSTANCE: the settings, a line each. */
  String settings(EventFrame frame) throws MalformedFrameException {
    return EventFrame.text(frame.tail(bytes, OPEN_SETTINGS, 1));
  }

  /** Of DEFINE_LIST: the number of the list. */
  int definedSlot() {
    return bytes.getInt(DEFINE_SLOT);
  }

  /** Of DEFINE_LIST: the entries of the list. */
  ByteBuffer definedEntries(EventFrame frame) throws MalformedFrameException {
    return frame.tail(bytes, DEFINE_ENTRIES, EndpointEntry.BYTES);
  }

  /** Of ENDPOINTS_CHANGED: the number of the list. */
  int slot() {
    return bytes.getInt(ENDPOINTS_SLOT);
  }

  /** Of ENDPOINTS_CHANGED. */
  EndpointListKind listKind() throws MalformedFrameException {
    return EndpointListKind.of(bytes.get(ENDPOINTS_KIND));
  }

  /** Of ARRIVAL, STARTED, OUTCOME and CLIENT_GONE. */
  int requestId() {
    return bytes.getInt(REQUEST_ID);
  }

  /** Of ARRIVAL: the index of the request's class in the settings. */
  int classIndex() {
    return Short.toUnsignedInt(bytes.getShort(ARRIVAL_CLASS));
  }

  /** Of ARRIVAL. */
  long objectId() {
    return bytes.getLong(ARRIVAL_OBJECT);
  }

  /** Of ARRIVAL: the time until the client gives up. */
  Duration timeLeft() {
    return Duration.ofNanos(bytes.getLong(ARRIVAL_TIME_LEFT));
  }

  /** Of ARRIVAL: the number of the object's part. */
  int part() {
    return (int) bytes.getFloat(ARRIVAL_PART);
  }

  /** Of ARRIVAL: the purge group of the object. */
  int group() {
    return (int) bytes.getFloat(ARRIVAL_GROUP);
  }

  /** Of ARRIVAL: the size of the part; 0 if unknown. */
  float kilobytes() {
    return bytes.getFloat(ARRIVAL_KILOBYTES);
  }

  /** Of OUTCOME: the index of the attempt among those of its request. */
  int attemptIndex() {
    return Byte.toUnsignedInt(bytes.get(OUTCOME_ATTEMPT));
  }

  /** Of OUTCOME: the cache that the attempt was sent to. */
  int attemptedCache() {
    return bytes.getInt(OUTCOME_CACHE);
  }

  /** Of OUTCOME. */
  Result result() throws MalformedFrameException {
    int code = bytes.getShort(OUTCOME_RESULT);
    return switch (code) {
      case 10 -> Result.SERVED;
      case 20 -> Result.FAILED;
      case 30 -> Result.REJECTED;
      case 40 -> Result.TIMED_OUT;
      case 50 -> Result.CONNECT_FAILED;
      case 60 -> Result.CONNECTION_LOST;
      case 70 -> Result.CANCELLED;
      case 80 -> Result.NOT_SENT;
      case 90 -> Result.MISS;
      default -> throw new MalformedFrameException("no outcome has the code " + code);
    };
  }

  /** Of OUTCOME: the time since the attempt was sent. */
  Duration duration() {
    return Duration.ofNanos(bytes.getLong(OUTCOME_DURATION));
  }

  /** Of OUTCOME: whether the request is over. */
  boolean requestCompleted() {
    return bytes.get(OUTCOME_COMPLETED) != 0;
  }

  /** Of OUTCOME. */
  Detail detail() {
    int number = bytes.getInt(OUTCOME_DETAIL);
    return number > 0 && number < DETAILS.size() ? DETAILS.get(number) : Detail.UNKNOWN;
  }

  /** Of OUTCOME: how long the cache waited for the source; null if unknown. */
  Duration sourceWait() {
    long nanos = bytes.getLong(OUTCOME_SOURCE_WAIT);
    return nanos == 0 ? null : Duration.ofNanos(nanos);
  }

  /** Of OUTCOME: the load report of the cache. */
  ByteBuffer outcomeLoadReport() {
    return loadReport(OUTCOME_LOAD_REPORT);
  }

  /** Of TIMER: the value that the timer was set with. */
  long cookie() {
    return bytes.getLong(TIMER_COOKIE);
  }

  /** Of HEALTH: the cache that was checked. */
  int checkedCache() {
    return bytes.getInt(HEALTH_CACHE);
  }

  /** Of HEALTH: the load report of the cache. */
  ByteBuffer healthLoadReport() {
    return loadReport(HEALTH_LOAD_REPORT);
  }

  private ByteBuffer loadReport(int offset) {
    return bytes.position(offset);
  }

  /** Of PURGE: the object; null for a whole group. */
  Long purgedObject() {
    long objectId = bytes.getLong(PURGE_OBJECT);
    return objectId == 0 ? null : objectId;
  }

  /** Of PURGE. */
  int purgedGroup() {
    return Short.toUnsignedInt(bytes.getShort(PURGE_GROUP));
  }

  /** Of PURGE: how long ago the purge was issued. */
  Duration purgeAge() {
    return Duration.ofNanos(bytes.getLong(PURGE_AGE));
  }
}
