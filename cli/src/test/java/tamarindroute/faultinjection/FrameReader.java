package tamarindroute.faultinjection;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the frames of one connection, arrays of bulk strings, and bounds the time at which each
 * arrived. Used by one thread.
 */
final class FrameReader {

  private static final int BUFFER_BYTES = 64 * 1024;
  private static final int MAX_ITEMS = 16;
  private static final int MAX_ITEM_BYTES = 1 << 20;
  private static final int MAX_LINE_CHARS = 8192;

  private final BufferedInputStream in;

  /** The last time at which nothing was left to read: what comes next came after it. */
  private long lastEmptyAt;

  private long earliestArrival;

  /** When the reading was paused, so that the end may have come at any time since; 0 if not. */
  private long pausedSince;

  /** A frame that violates the format. */
  static final class UnreadableFrameException extends IOException {

    private static final long serialVersionUID = 1;

    UnreadableFrameException(String message) {
      super(message);
    }
  }

  /**
   * @param since when the connection can have begun at the earliest
   */
  FrameReader(Socket socket, long since) throws IOException {
    in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
    lastEmptyAt = since;
  }

  /**
   * Reads the next frame's items.
   *
   * @throws EOFException if the connection ends, also inside a frame
   * @throws UnreadableFrameException if the bytes are no frame
   */
  List<byte[]> next() throws IOException {
    boolean available = in.available() > 0;
    if (!available) {
      lastEmptyAt = System.nanoTime();
    }
    in.mark(1);
    int first = in.read();
    // A byte that had to be waited for came just now, any other since all had been read.
    earliestArrival = available ? lastEmptyAt : System.nanoTime();
    if (first < 0) {
      earliestArrival = pausedSince == 0 ? earliestArrival : pausedSince;
      throw new EOFException("the connection ended");
    }
    in.reset();
    pausedSince = 0;
    return readItems();
  }

  private List<byte[]> readItems() throws IOException {
    int count = readNumber('*', MAX_ITEMS);
    List<byte[]> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int length = readNumber('$', MAX_ITEM_BYTES);
      byte[] item = in.readNBytes(length);
      if (item.length < length) {
        throw new EOFException("the connection ended inside an item");
      }
      if (!readLine().isEmpty()) {
        throw new UnreadableFrameException("unreadable: no line end after an item");
      }
      items.add(item);
    }
    return items;
  }

  /**
   * The earliest time at which the last frame's first byte, or the connection's end, arrived; 0
   * before the first.
   */
  long earliestArrival() {
    return earliestArrival;
  }

  /** Notes that nothing is read from this time on, until the next frame. */
  void paused(long since) {
    pausedSince = since;
  }

  private int readNumber(char sign, int max) throws IOException {
    String line = readLine();
    if (!line.isEmpty() && line.charAt(0) == sign) {
      try {
        int number = Integer.parseInt(line.substring(1));
        if (number >= 0 && number <= max) {
          return number;
        }
      } catch (NumberFormatException e) {
        // Reported below.
      }
    }
    throw new UnreadableFrameException("unreadable: " + line);
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended");
      }
      if (line.append((char) b).length() > MAX_LINE_CHARS) {
        throw new UnreadableFrameException("unreadable: a line without end");
      }
    }
    return line.toString().strip();
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Decodes a list of the form name=value,name=value. */
  static Map<String, String> parseFields(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String field : text.split(",", -1)) {
      int separator = field.indexOf('=');
      if (separator > 0) {
        fields.put(field.substring(0, separator), field.substring(separator + 1));
      }
    }
    return fields;
  }
}
