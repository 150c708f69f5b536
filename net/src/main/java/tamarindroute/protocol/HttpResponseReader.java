package tamarindroute.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Incremental reader of one connection's HTTP/1.1 responses, whose bodies have a content length,
 * come in chunks, or end with the connection (RFC 9112, section 6.3). Bytes are fed as they come; a
 * body is held up to the limit that the reader was made with.
 */
public final class HttpResponseReader {

  private enum State {
    STATUS_LINE,
    HEADER,
    BODY,
    BODY_UNTIL_CLOSE,
    CHUNK_LENGTH,
    CHUNK,
    CHUNK_END,
    TRAILER
  }

  private static final int MAX_LINE_LENGTH = 4096;
  private static final int MAX_HEADER_LINES = 100;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final int maxBodyLength;
  private final StringBuilder line = new StringBuilder();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State state = State.STATUS_LINE;
  private int headerLines;
  private int status;

  /** Bytes of the body or the chunk that are still to come. */
  private int remaining;

  private boolean lengthKnown;
  private boolean chunked;
  private boolean closesConnection;

  /**
   * Creates a reader.
   *
   * @param maxBodyLength longest body, in bytes
   */
  public HttpResponseReader(int maxBodyLength) {
    this.maxBodyLength = maxBodyLength;
  }

  /** Status code of the response. */
  public int status() {
    return status;
  }

  /** Whether the server closes the connection after this response. */
  public boolean closesConnection() {
    return closesConnection;
  }

  /** The body read so far, as UTF-8. */
  public String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  /**
   * Reads bytes up to the end of a response.
   *
   * @return whether a response is whole now; bytes behind it are left unread
   * @throws MalformedMessageException if the bytes are no response or exceed a limit
   */
  public boolean read(ByteBuffer in) throws MalformedMessageException {
    while (in.hasRemaining()) {
      boolean whole =
          switch (state) {
            case BODY, CHUNK -> readBody(in);
            case BODY_UNTIL_CLOSE -> readBodyUntilClose(in);
            default -> readLineByte(in.get());
          };
      if (whole) {
        return true;
      }
    }
    return false;
  }

  /**
   * Notes that the server has closed the connection, and returns whether a response is whole
   * thereby: one whose body ends with the connection.
   */
  public boolean endInput() {
    boolean whole = state == State.BODY_UNTIL_CLOSE;
    state = State.STATUS_LINE;
    return whole;
  }

  private boolean readBodyUntilClose(ByteBuffer in) throws MalformedMessageException {
    byte[] bytes = new byte[in.remaining()];
    checkBodyLength((long) body.size() + bytes.length);
    in.get(bytes);
    body.write(bytes, 0, bytes.length);
    return false;
  }

  private boolean readBody(ByteBuffer in) {
    int count = Math.min(remaining, in.remaining());
    byte[] bytes = new byte[count];
    in.get(bytes);
    body.write(bytes, 0, count);
    remaining -= count;
    if (remaining > 0) {
      return false;
    }
    boolean whole = state == State.BODY;
    state = whole ? State.STATUS_LINE : State.CHUNK_END;
    return whole;
  }

  private boolean readLineByte(byte next) throws MalformedMessageException {
    if (next != '\n') {
      if (line.length() >= MAX_LINE_LENGTH) {
        throw new MalformedMessageException("a line over " + MAX_LINE_LENGTH + " bytes");
      }
      line.append((char) (next & 0xff));
      return false;
    }
    String text = line.toString().strip();
    line.setLength(0);
    return readLine(text);
  }

  private boolean readLine(String text) throws MalformedMessageException {
    switch (state) {
      case STATUS_LINE -> readStatusLine(text);
      case HEADER -> {
        if (text.isEmpty()) {
          return endHeaders();
        }
        readHeader(text);
      }
      case CHUNK_LENGTH -> readChunkLength(text);
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new MalformedMessageException("a chunk longer than its length says");
        }
        state = State.CHUNK_LENGTH;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          state = State.STATUS_LINE;
          return true;
        }
        countHeaderLine();
      }
      default -> throw new IllegalStateException("no lines are read in state " + state);
    }
    return false;
  }

  private void readStatusLine(String text) throws MalformedMessageException {
    String[] parts = text.split(" ", 3);
    if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
      throw new MalformedMessageException("status line", text, "HTTP/1.x and a status");
    }
    status = parseLength("status", parts[1], 10);
    body = new ByteArrayOutputStream();
    closesConnection = parts[0].equals("HTTP/1.0");
    lengthKnown = false;
    chunked = false;
    remaining = 0;
    headerLines = 0;
    state = State.HEADER;
  }

  private void readHeader(String text) throws MalformedMessageException {
    countHeaderLine();
    int colon = text.indexOf(':');
    if (colon <= 0) {
      throw new MalformedMessageException("header", text, "name: value");
    }
    String name = text.substring(0, colon).strip().toLowerCase(Locale.ROOT);
    String value = text.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
    switch (name) {
      case "content-length" -> {
        remaining = parseLength(name, value, 10);
        checkBodyLength(remaining);
        lengthKnown = true;
      }
      case "transfer-encoding" -> chunked = value.endsWith("chunked");
      case "connection" ->
          closesConnection =
              value.equals("close") || (closesConnection && !value.equals("keep-alive"));
      default -> {
        // Other headers are of no use here.
      }
    }
  }

  /** Whether the response has no body and is whole. */
  private boolean endHeaders() {
    if (chunked) {
      state = remaining > 0 ? State.CHUNK : State.CHUNK_LENGTH;
      return false;
    }
    if (!lengthKnown && mayHaveBody()) {
      closesConnection = true;
      state = State.BODY_UNTIL_CLOSE;
      return false;
    }
    boolean whole = remaining == 0;
    state = whole ? State.STATUS_LINE : State.BODY;
    return whole;
  }

  private boolean mayHaveBody() {
    return status >= FIRST_FINAL_STATUS && status != NO_CONTENT && status != NOT_MODIFIED;
  }

  private void readChunkLength(String text) throws MalformedMessageException {
    remaining = parseLength("chunk length", text.split(";", 2)[0].strip(), 16);
    checkBodyLength(remaining + body.size());
    state = remaining == 0 ? State.TRAILER : State.CHUNK;
  }

  private void checkBodyLength(long length) throws MalformedMessageException {
    if (length > maxBodyLength) {
      throw new MalformedMessageException(
          "a body of " + length + " bytes, allowed: " + maxBodyLength);
    }
  }

  private void countHeaderLine() throws MalformedMessageException {
    headerLines++;
    if (headerLines > MAX_HEADER_LINES) {
      throw new MalformedMessageException("over " + MAX_HEADER_LINES + " headers");
    }
  }

  private static int parseLength(String what, String text, int radix)
      throws MalformedMessageException {
    try {
      int number = Integer.parseInt(text, radix);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Refused below, as a negative number is.
    }
    throw new MalformedMessageException(what, text, "a number from 0 up");
  }
}
