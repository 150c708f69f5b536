package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;

/**
 * Codec of the protocol between the gateway and caches, parents and the origin.
 *
 * <p>Commands are RESP arrays: {@code ASK id fields body}, {@code QUIT id} and {@code INFO id}.
 * Responses are {@code id status fields body}. Fields are {@code name=value} pairs joined by
 * commas, or a lone dash for none.
 */
public final class CacheProtocol {

  /** Bulk strings of a command or a response before its body. */
  public static final int MAX_ARGUMENTS = 3;

  /** Longest bulk string before a body, in bytes. */
  public static final int MAX_ARGUMENT_BYTES = 4096;

  /** Longest body of a response, in bytes. */
  public static final int MAX_BODY_BYTES = 256 * 1024;

  private static final String REQUEST = "ASK";
  private static final String CANCEL = "QUIT";
  private static final String HEALTH_CHECK = "INFO";
  private static final String HEALTHY = "READY";

  private static final String REQUEST_CLASS = "lane";
  private static final String OBJECT_ID = "name";
  private static final String PART = "piece";
  private static final String TIME_LEFT_MILLIS = "ttl";
  private static final String IDEMPOTENCY_KEY = "dedupe";
  private static final String FILL_SOURCE = "parent";
  private static final String COPY_RANK = "shelf";
  private static final String MAX_COPY_AGE_MILLIS = "accept";
  private static final String HINTS = "hints";
  private static final String CLIENT_COPY_TAG = "got";

  private static final String ONLY_IF_CACHED_HINT = "local";
  private static final String REVALIDATE_HINT = "revalidate";
  private static final String HINT_SEPARATOR = "+";

  private static final String NO_FIELDS = "-";

  private static final String REQUEST_FRAME_PREFIX =
      RespWriter.framePrefix(MAX_ARGUMENTS + 1, REQUEST);

  private CacheProtocol() {}

  /**
   * Encodes a request up to the first byte of its body; {@link RespWriter#frameTrailer} follows the
   * body.
   *
   * @param fields see {@link #encodeRequestFields}
   */
  public static ByteBuffer encodeRequestHeader(String requestId, String fields, int bodyLength) {
    return RespWriter.frameHeader(bodyLength, REQUEST, requestId, fields);
  }

  /** Encodes the fields of a request. */
  public static String encodeRequestFields(CacheRequest request) {
    return new FieldList()
        .with(REQUEST_CLASS, request.requestClass())
        .with(OBJECT_ID, request.objectId())
        .with(PART, request.part())
        .with(TIME_LEFT_MILLIS, atLeastOneMilli(request.timeLeft()))
        .with(IDEMPOTENCY_KEY, request.idempotencyKey())
        .with(FILL_SOURCE, request.fillSource())
        .with(COPY_RANK, request.copyRank() == 0 ? null : request.copyRank())
        .with(
            MAX_COPY_AGE_MILLIS,
            request.maxCopyAge() == null ? null : atLeastOneMilli(request.maxCopyAge()))
        .with(HINTS, hints(request))
        .with(CLIENT_COPY_TAG, request.clientCopyTag())
        .format(NO_FIELDS);
  }

  private static long atLeastOneMilli(Duration duration) {
    return Math.max(1, duration.toMillis());
  }

  private static String hints(CacheRequest request) {
    if (request.onlyIfCached() && request.revalidate()) {
      return ONLY_IF_CACHED_HINT + HINT_SEPARATOR + REVALIDATE_HINT;
    }
    if (request.onlyIfCached()) {
      return ONLY_IF_CACHED_HINT;
    }
    return request.revalidate() ? REVALIDATE_HINT : null;
  }

  /** Encodes the command that cancels a request; the cache sends no response then. */
  public static byte[] encodeCancel(String requestId) {
    return RespWriter.frame(CANCEL, requestId);
  }

  /** Encodes a health check, whose response holds the cache's load report. */
  public static byte[] encodeHealthCheck(String id) {
    return RespWriter.frame(HEALTH_CHECK, id);
  }

  /**
   * Decodes a response without its body. Missing fields are none; a missing status is unknown.
   *
   * @param arguments the frame's bulk strings before the body: id, status and fields
   * @throws MalformedMessageException if the fields are not a field list
   */
  public static CacheResponse decodeResponse(List<String> arguments)
      throws MalformedMessageException {
    FieldList fields = arguments.size() > 2 ? FieldList.parse(arguments.get(2)) : new FieldList();
    if (arguments.size() < 2) {
      return new CacheResponse(CacheStatus.UNKNOWN, false, fields);
    }
    String status = arguments.get(1);
    return new CacheResponse(CacheStatus.decode(status), HEALTHY.equals(status), fields);
  }

  /** Whether a frame, of which the start is given as text, is a request. */
  public static boolean isRequestFrame(String frame) {
    return frame.startsWith(REQUEST_FRAME_PREFIX);
  }

  /** Whether a command is a request; its second bulk string is the request's id. */
  public static boolean isRequest(List<String> arguments) {
    return arguments.get(0).equals(REQUEST);
  }

  /**
   * Encodes a response up to the first byte of its body.
   *
   * @param fields field list, see {@link CacheResponse#hitFields}; null for none
   */
  public static ByteBuffer encodeResponseHeader(
      String requestId, CacheStatus status, FieldList fields, int bodyLength) {
    String fieldText = fields == null ? NO_FIELDS : fields.format(NO_FIELDS);
    return RespWriter.frameHeader(bodyLength, requestId, status.wireName(), fieldText);
  }
}
