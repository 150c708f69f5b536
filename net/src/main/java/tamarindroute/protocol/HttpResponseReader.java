package tamarindroute.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Owns the reading of HTTP/1.1 answers on one connection, with a told length or in chunks, fed as
 * the bytes come. It must never touch a socket, nor hold more than the longest body that it was
 * made for.
 */
public final class HttpResponseReader {

  private enum State {
    STATUS,
    HEADER,
    BODY,
    CHUNK,
    CHUNK_END,
    TRAILER
  }

  private static final int MAX_LINE_LENGTH = 4096;
  private static final int MAX_HEADER_LINES = 100;

  private final int maxBodyLength;
  private final StringBuilder line = new StringBuilder();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State state = State.STATUS;
  private int headerLines;
  private int status;
  private int remaining;
  private boolean chunked;
  private boolean closesConnection;

  public HttpResponseReader(int maxBodyLength) {
    this.maxBodyLength = maxBodyLength;
  }

  public int status() {
    return status;
  }

  /** Whether the server means to close the connection after this answer. */
  public boolean closesConnection() {
    return closesConnection;
  }

  public String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  /** Whether an answer is whole now; bytes behind it are left. */
  public boolean read(ByteBuffer in) throws MalformedMessageException {
    while (in.hasRemaining()) {
      if (state == State.BODY || state == State.CHUNK && remaining > 0) {
        int count = Math.min(remaining, in.remaining());
        byte[] bytes = new byte[count];
        in.get(bytes);
        body.write(bytes, 0, count);
        remaining -= count;
        if (remaining > 0) {
          continue;
        }
        if (state == State.BODY) {
          state = State.STATUS;
          return true;
        }
        state = State.CHUNK_END;
        continue;
      }
      char c = (char) (in.get() & 0xff);
      if (c != '\n') {
        if (line.length() >= MAX_LINE_LENGTH) {
          throw new MalformedMessageException("a line over " + MAX_LINE_LENGTH);
        }
        line.append(c);
        continue;
      }
      String text = line.toString().strip();
      line.setLength(0);
      if (line(text)) {
        return true;
      }
    }
    return false;
  }

  private boolean line(String text) throws MalformedMessageException {
    switch (state) {
      case STATUS -> status(text);
      case HEADER -> {
        if (!text.isEmpty()) {
          header(text);
        } else if (chunked) {
          state = State.CHUNK;
        } else if (remaining > 0) {
          state = State.BODY;
        } else {
          state = State.STATUS;
          return true;
        }
      }
      case CHUNK -> {
        remaining = parseLength(text.split(";", 2)[0].strip(), 16);
        if (remaining + body.size() > maxBodyLength) {
          throw new MalformedMessageException("a body over " + maxBodyLength);
        }
        state = remaining == 0 ? State.TRAILER : State.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new MalformedMessageException("a chunk longer than told");
        }
        state = State.CHUNK;
      }
      default -> {
        if (text.isEmpty()) {
          state = State.STATUS;
          return true;
        }
        countHeaderLine();
      }
    }
    return false;
  }

  private void status(String text) throws MalformedMessageException {
    String[] parts = text.split(" ", 3);
    if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
      throw new MalformedMessageException("no status line");
    }
    status = parseLength(parts[1], 10);
    body = new ByteArrayOutputStream();
    closesConnection = parts[0].equals("HTTP/1.0");
    chunked = false;
    remaining = 0;
    headerLines = 0;
    state = State.HEADER;
  }

  private void header(String text) throws MalformedMessageException {
    countHeaderLine();
    int colon = text.indexOf(':');
    if (colon <= 0) {
      throw new MalformedMessageException("a header without a name");
    }
    String value = text.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
    switch (text.substring(0, colon).strip().toLowerCase(Locale.ROOT)) {
      case "content-length" -> {
        remaining = parseLength(value, 10);
        if (remaining > maxBodyLength) {
          throw new MalformedMessageException("a body over " + maxBodyLength);
        }
      }
      case "transfer-encoding" -> chunked = value.endsWith("chunked");
      case "connection" ->
          closesConnection =
              value.equals("close") || closesConnection && !value.equals("keep-alive");
      default -> {}
    }
  }

  private void countHeaderLine() throws MalformedMessageException {
    if (++headerLines > MAX_HEADER_LINES) {
      throw new MalformedMessageException("over " + MAX_HEADER_LINES + " headers");
    }
  }

  private static int parseLength(String text, int radix) throws MalformedMessageException {
    try {
      int number = Integer.parseInt(text, radix);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below.
    }
    throw new MalformedMessageException("no number where a length or status is due");
  }
}
