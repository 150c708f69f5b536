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
public final class HttpReader {

  private enum At {
    STATUS,
    HEADER,
    BODY,
    CHUNK,
    CHUNK_END,
    TRAILER
  }

  private static final int LONGEST_LINE = 4096;
  private static final int MOST_LINES = 100;

  private final int longestBody;
  private final StringBuilder line = new StringBuilder();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private At at = At.STATUS;
  private int lines;
  private int status;
  private int left;
  private boolean chunked;
  private boolean closing;

  public HttpReader(int longestBody) {
    this.longestBody = longestBody;
  }

  public int status() {
    return status;
  }

  /** Whether the server means to close the connection after this answer. */
  public boolean closing() {
    return closing;
  }

  public String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  /** Whether an answer is whole now; bytes behind it are left. */
  public boolean read(ByteBuffer in) throws MalformedException {
    while (in.hasRemaining()) {
      if (at == At.BODY || at == At.CHUNK && left > 0) {
        int some = Math.min(left, in.remaining());
        byte[] bytes = new byte[some];
        in.get(bytes);
        body.write(bytes, 0, some);
        left -= some;
        if (left > 0) {
          continue;
        }
        if (at == At.BODY) {
          at = At.STATUS;
          return true;
        }
        at = At.CHUNK_END;
        continue;
      }
      char c = (char) (in.get() & 0xff);
      if (c != '\n') {
        if (line.length() >= LONGEST_LINE) {
          throw new MalformedException("a line over " + LONGEST_LINE);
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

  private boolean line(String text) throws MalformedException {
    switch (at) {
      case STATUS -> status(text);
      case HEADER -> {
        if (!text.isEmpty()) {
          header(text);
        } else if (chunked) {
          at = At.CHUNK;
        } else if (left > 0) {
          at = At.BODY;
        } else {
          at = At.STATUS;
          return true;
        }
      }
      case CHUNK -> {
        left = number(text.split(";", 2)[0].strip(), 16);
        if (left + body.size() > longestBody) {
          throw new MalformedException("a body over " + longestBody);
        }
        at = left == 0 ? At.TRAILER : At.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new MalformedException("a chunk longer than told");
        }
        at = At.CHUNK;
      }
      default -> {
        if (text.isEmpty()) {
          at = At.STATUS;
          return true;
        }
        counted();
      }
    }
    return false;
  }

  private void status(String text) throws MalformedException {
    String[] parts = text.split(" ", 3);
    if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
      throw new MalformedException("no status line");
    }
    status = number(parts[1], 10);
    body = new ByteArrayOutputStream();
    closing = parts[0].equals("HTTP/1.0");
    chunked = false;
    left = 0;
    lines = 0;
    at = At.HEADER;
  }

  private void header(String text) throws MalformedException {
    counted();
    int colon = text.indexOf(':');
    if (colon <= 0) {
      throw new MalformedException("a header without a name");
    }
    String value = text.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
    switch (text.substring(0, colon).strip().toLowerCase(Locale.ROOT)) {
      case "content-length" -> {
        left = number(value, 10);
        if (left > longestBody) {
          throw new MalformedException("a body over " + longestBody);
        }
      }
      case "transfer-encoding" -> chunked = value.endsWith("chunked");
      case "connection" ->
          closing = value.equals("close") || closing && !value.equals("keep-alive");
      default -> {}
    }
  }

  private void counted() throws MalformedException {
    if (++lines > MOST_LINES) {
      throw new MalformedException("over " + MOST_LINES + " headers");
    }
  }

  private static int number(String text, int radix) throws MalformedException {
    try {
      int number = Integer.parseInt(text, radix);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below.
    }
    throw new MalformedException("no number where a length or status is due");
  }
}
