package tamarindroute.endings;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Reads frames and says when they can have come; it owns one connection's reading and must never
 * write.
 */
final class Wire {

  private final BufferedInputStream in;

  /** When nothing was left to read at the latest, so that what comes next came after it. */
  private long empty;

  /** The earliest moment of the last frame's first byte, or of the connection's end. */
  long from;

  /** Nobody looked from here on: the end may have come at any time since. */
  private long restedAt;

  Wire(Socket socket, long since) throws IOException {
    in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    empty = since;
  }

  /**
   * The next frame's items; an EOFException says that the connection ended, also inside a frame.
   */
  List<byte[]> next() throws IOException {
    boolean waiting = in.available() > 0;
    if (!waiting) {
      empty = System.nanoTime();
    }
    in.mark(1);
    int first = in.read();
    // Where it had to be waited for, it came just now; else at some time since all was read.
    from = waiting ? empty : System.nanoTime();
    if (first < 0) {
      from = restedAt == 0 ? from : restedAt;
      throw new EOFException("the connection ended");
    }
    in.reset();
    restedAt = 0;
    int count = number(line(), '*', 16);
    List<byte[]> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int length = number(line(), '$', 1 << 20);
      byte[] item = in.readNBytes(length);
      if (item.length < length) {
        throw new EOFException("the connection ended inside an item");
      }
      if (!line().isEmpty()) {
        throw new IOException("unreadable: no line's end after an item");
      }
      items.add(item);
    }
    return items;
  }

  void rested(long since) {
    restedAt = since;
  }

  private static int number(String line, char sign, int most) throws IOException {
    try {
      int number = Integer.parseInt(line.substring(1));
      if (line.charAt(0) == sign && number >= 0 && number <= most) {
        return number;
      }
    } catch (RuntimeException e) {
      // Said below.
    }
    throw new IOException("unreadable: " + line);
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended");
      }
      if (line.append((char) b).length() > 8192) {
        throw new IOException("unreadable: a line without end");
      }
    }
    return line.toString().strip();
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  static Map<String, String> fields(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String field : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return fields;
  }

  /** The tag of a version of a part, and by it its bytes. */
  static String digest(String object, int piece, int version) {
    long mixed =
        new SplittableRandom(Long.parseUnsignedLong(object, 16) * 31 + piece * 1009L + version)
            .nextLong();
    return String.format("%016x", mixed);
  }

  static byte[] bytes(String digest, int length) {
    byte[] bytes = new byte[length];
    new java.util.Random(digest.hashCode()).nextBytes(bytes);
    return bytes;
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is over already.
    }
  }
}
