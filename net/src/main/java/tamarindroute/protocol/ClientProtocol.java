package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;

/**
 * Codec of the protocol between clients and the gateway.
 *
 * <p>Commands are RESP arrays: {@code RPC.CALL tag class fields body}, {@code RPC.CANCEL tag} and
 * {@code RPC.HEALTH tag}. Responses are {@code tag status fields body}. Fields are {@code
 * name=value} pairs joined by commas.
 */
public final class ClientProtocol {

  /** Bulk strings of a call before its body: command, tag, request class and fields. */
  public static final int CALL_ARGUMENTS = 4;

  /** Bulk strings of a response before its body: tag, status and fields. */
  public static final int RESPONSE_ARGUMENTS = 3;

  /** Longest bulk string before a body, in bytes. */
  public static final int MAX_ARGUMENT_BYTES = 4096;

  /** Longest body of a call, in bytes. */
  public static final int MAX_BODY_BYTES = 48 * 1024;

  /** Requests that one connection may have open at a time. */
  public static final int MAX_OPEN_REQUESTS = 32;

  private static final String CALL = "RPC.CALL";
  private static final String CANCEL = "RPC.CANCEL";
  private static final String HEALTH_CHECK = "RPC.HEALTH";

  private static final String REQUEST_ID = "rid";
  private static final String BUDGET_MILLIS = "budget";
  private static final String IDEMPOTENCY_KEY = "token";
  private static final String OBJECT_ID = "obj";
  private static final String PART = "piece";
  private static final String PURGE_GROUP = "lot";
  private static final String KILOBYTES = "mem";
  private static final String COPY_TAG = "ver";
  private static final String METHOD = "method";
  private static final String RETRY_AFTER_MILLIS = "backoff";
  private static final String NOT_MODIFIED = "unchanged";
  private static final int NOT_MODIFIED_TRUE = 1;

  /** Digits of a tag; any such number fits a long. */
  private static final int MAX_TAG_DIGITS = 18;

  private static final int ID_DIGITS = 16;
  private static final int IDEMPOTENCY_KEY_DIGITS = 32;
  private static final int MAX_PURGE_GROUP = 255;

  /** A part has far less than a gigabyte. */
  private static final double MAX_KILOBYTES = 1e6;

  /** Index of the fields' line among those of a call's frame. */
  private static final int CALL_FIELDS_LINE = 8;

  private static final String NO_FIELDS = "";
  private static final String NO_BODY = "";

  private ClientProtocol() {}

  /**
   * Decodes a command.
   *
   * @param arguments the frame's bulk strings before the body
   * @param hasBody whether a body, possibly empty, follows them
   * @throws MalformedMessageException if the frame is not a command; the connection can't be
   *     trusted then
   */
  public static ClientCommand decodeCommand(List<String> arguments, boolean hasBody)
      throws MalformedMessageException {
    if (arguments.size() < 2) {
      throw new MalformedMessageException("a command without a tag");
    }
    String tag = arguments.get(1);
    if (!isValidTag(tag)) {
      throw new MalformedMessageException("tag", tag, "a decimal number from 1 up");
    }
    switch (arguments.get(0)) {
      case CALL -> {
        if (!hasBody) {
          throw new MalformedMessageException(
              "a call of tag " + tag + " without class, fields or body");
        }
        return new ClientCommand.Call(tag, arguments.get(2), arguments.get(3));
      }
      case CANCEL -> {
        return new ClientCommand.Cancel(tag);
      }
      case HEALTH_CHECK -> {
        return new ClientCommand.HealthCheck(tag);
      }
      default ->
          throw new MalformedMessageException(
              "command", arguments.get(0), CALL + ", " + CANCEL + " or " + HEALTH_CHECK);
    }
  }

  private static boolean isValidTag(String text) {
    return text.length() <= MAX_TAG_DIGITS
        && !text.isEmpty()
        && text.charAt(0) != '0'
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  /**
   * Decodes the fields of a call.
   *
   * @param maxBudgetMillis longest time that a client may wait
   * @throws MalformedMessageException if a field is missing, repeated or out of its range
   */
  public static CallFields decodeCallFields(String fieldList, double maxBudgetMillis)
      throws MalformedMessageException {
    FieldList fields = FieldList.parse(fieldList);
    String requestId = hexField(fields, REQUEST_ID, ID_DIGITS);
    String objectId = hexField(fields, OBJECT_ID, ID_DIGITS);
    String idempotencyKey = hexField(fields, IDEMPOTENCY_KEY, IDEMPOTENCY_KEY_DIGITS);
    String copyTag = hexField(fields, COPY_TAG, ID_DIGITS);
    if (requestId == null || objectId == null) {
      throw new MalformedMessageException("a call without " + REQUEST_ID + " or " + OBJECT_ID);
    }
    double budgetMillis = fields.number(BUDGET_MILLIS, 0, maxBudgetMillis);
    if (budgetMillis == 0) {
      throw new MalformedMessageException(
          BUDGET_MILLIS,
          fields.text(BUDGET_MILLIS),
          "a number above 0 and up to " + maxBudgetMillis);
    }
    return new CallFields(
        requestId,
        objectId,
        idempotencyKey,
        copyTag,
        budgetMillis,
        fields.integer(PART, Integer.MAX_VALUE),
        fields.integer(PURGE_GROUP, MAX_PURGE_GROUP),
        fields.number(KILOBYTES, 0, MAX_KILOBYTES));
  }

  /** Field of exactly so many hexadecimal digits; null if absent. */
  private static String hexField(FieldList fields, String name, int digits)
      throws MalformedMessageException {
    String text = fields.text(name);
    if (text != null
        && (text.length() != digits || !text.chars().allMatch(ClientProtocol::isHexDigit))) {
      throw new MalformedMessageException(name, text, digits + " hexadecimal digits");
    }
    return text;
  }

  private static boolean isHexDigit(int c) {
    return c < 128 && Character.digit(c, 16) >= 0;
  }

  /**
   * Encodes a call without a body, for the gateway's warm-up.
   *
   * @param method written as the first field, by which {@link #isCallFrameOf} distinguishes the
   *     call from a client's
   */
  public static byte[] encodeCall(String tag, String requestClass, String method, CallFields call) {
    FieldList fields =
        new FieldList()
            .with(METHOD, method)
            .with(REQUEST_ID, call.requestId())
            .with(BUDGET_MILLIS, (long) call.budgetMillis())
            .with(OBJECT_ID, call.objectId())
            .with(PART, call.part())
            .with(PURGE_GROUP, call.purgeGroup())
            .with(KILOBYTES, (long) call.kilobytes())
            .with(IDEMPOTENCY_KEY, call.idempotencyKey())
            .with(COPY_TAG, call.clientCopyTag());
    return RespWriter.frame(CALL, tag, requestClass, fields.format(NO_FIELDS), NO_BODY);
  }

  /**
   * Whether a frame, of which the start is given as text, is a call that was encoded with this
   * method.
   */
  public static boolean isCallFrameOf(String method, String frame) {
    String[] lines = frame.split("\r\n", CALL_FIELDS_LINE + 2);
    return lines.length > CALL_FIELDS_LINE
        && lines[CALL_FIELDS_LINE].startsWith(METHOD + "=" + method);
  }

  /** Encodes a response without fields or body. */
  public static byte[] encodeResponse(String tag, ClientStatus status) {
    return encodeResponse(tag, status, NO_FIELDS);
  }

  /**
   * Encodes a rejection.
   *
   * @param retryAfter how long the client should stay away, rounded up to 1 ms at least; null for
   *     no advice
   */
  public static byte[] encodeRejection(String tag, Duration retryAfter) {
    Long millis = retryAfter == null ? null : Math.max(1, retryAfter.toMillis());
    return encodeResponse(
        tag,
        ClientStatus.REJECTED,
        new FieldList().with(RETRY_AFTER_MILLIS, millis).format(NO_FIELDS));
  }

  /** Encodes the response that the client's copy of this tag is current. */
  public static byte[] encodeNotModified(String tag, String copyTag) {
    FieldList fields =
        new FieldList().with(NOT_MODIFIED, NOT_MODIFIED_TRUE).with(COPY_TAG, copyTag);
    return encodeResponse(tag, ClientStatus.SERVED, fields.format(NO_FIELDS));
  }

  private static byte[] encodeResponse(String tag, ClientStatus status, String fields) {
    return RespWriter.frame(tag, status.wireName(), fields, NO_BODY);
  }

  /**
   * Encodes a served response up to the first byte of its body; {@link RespWriter#frameTrailer}
   * follows the body.
   *
   * @param copyTag tag of the copy served; null if the cache named none
   */
  public static ByteBuffer encodeServedHeader(String tag, String copyTag, int bodyLength) {
    String fields = new FieldList().with(COPY_TAG, copyTag).format(NO_FIELDS);
    return RespWriter.frameHeader(bodyLength, tag, ClientStatus.SERVED.wireName(), fields);
  }
}
