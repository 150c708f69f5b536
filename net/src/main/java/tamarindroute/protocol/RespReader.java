package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Owns the reading of one connection's RESP arrays of bulk strings: some words, then at most one
 * body. It is fed bytes as they come, in pieces of any size, and gives the body on in slices. It
 * must never touch a socket, hold a body, or allocate anything before it has bounded the length.
 */
public final class RespReader {

  /** What the bytes read so far have brought. */
  public enum Step {
    /** All bytes are used up, the frame goes on. */
    NEED_MORE_BYTES,
    /** The words are whole and the body's length is known. */
    HEADER,
    /** A slice of the body. */
    BODY,
    /** The frame is over. */
    END
  }

  private enum State {
    ARRAY,
    STRING_LENGTH,
    ARGUMENT,
    BODY,
    STRING_END,
    FRAME_END
  }

  /** No count or length of the protocol has more digits. */
  private static final int MAX_DIGITS = 7;

  private final int maxArguments;
  private final int maxArgumentLength;
  private final int maxBodyLength;

  private State state = State.ARRAY;
  private final List<String> arguments = new ArrayList<>();
  private int elementCount;
  private int bodyLength;
  private boolean bodyExpected;
  private ByteBuffer body;
  private byte[] argument;
  private int remaining;
  private int lineLength;
  private int number;

  public RespReader(int maxArguments, int maxArgumentLength, int maxBodyLength) {
    this.maxArguments = maxArguments;
    this.maxArgumentLength = maxArgumentLength;
    this.maxBodyLength = maxBodyLength;
  }

  /** The words of the frame; whole from HEAD to END. */
  public List<String> arguments() {
    return arguments;
  }

  /** Whether the frame has a body, be it empty. */
  public boolean hasBody() {
    return bodyExpected;
  }

  public int bodyLength() {
    return bodyLength;
  }

  /** The slice that BODY announced. */
  public ByteBuffer body() {
    return body;
  }

  /** Whether no frame is under way. */
  public boolean betweenFrames() {
    return state == State.ARRAY && lineLength == 0;
  }

  public Step next(ByteBuffer in) throws MalformedMessageException {
    while (true) {
      switch (state) {
        case ARRAY -> {
          if (!readLengthLine(in, '*', maxArguments + 1)) {
            return Step.NEED_MORE_BYTES;
          }
          if (number < 1) {
            throw new MalformedMessageException("an empty array");
          }
          elementCount = number;
          arguments.clear();
          bodyLength = 0;
          bodyExpected = false;
          state = State.STRING_LENGTH;
        }
        case STRING_LENGTH -> {
          bodyExpected = arguments.size() == maxArguments;
          if (!readLengthLine(in, '$', bodyExpected ? maxBodyLength : maxArgumentLength)) {
            return Step.NEED_MORE_BYTES;
          }
          remaining = number;
          if (bodyExpected) {
            bodyLength = number;
            state = State.BODY;
            return Step.HEADER;
          }
          argument = new byte[number];
          state = State.ARGUMENT;
        }
        case ARGUMENT -> {
          int count = Math.min(remaining, in.remaining());
          in.get(argument, argument.length - remaining, count);
          remaining -= count;
          if (remaining > 0) {
            return Step.NEED_MORE_BYTES;
          }
          arguments.add(new String(argument, StandardCharsets.UTF_8));
          state = State.STRING_END;
        }
        case BODY -> {
          if (remaining == 0) {
            state = State.STRING_END;
            continue;
          }
          int count = Math.min(remaining, in.remaining());
          if (count == 0) {
            return Step.NEED_MORE_BYTES;
          }
          body = in.slice(in.position(), count);
          in.position(in.position() + count);
          remaining -= count;
          return Step.BODY;
        }
        case STRING_END -> {
          while (lineLength < 2) {
            if (!in.hasRemaining()) {
              return Step.NEED_MORE_BYTES;
            }
            if (in.get() != (lineLength == 0 ? '\r' : '\n')) {
              throw new MalformedMessageException("a string longer than told");
            }
            lineLength++;
          }
          lineLength = 0;
          if (bodyExpected) {
            state = State.FRAME_END;
          } else if (arguments.size() == elementCount) {
            state = State.FRAME_END;
            return Step.HEADER;
          } else {
            state = State.STRING_LENGTH;
          }
        }
        case FRAME_END -> {
          state = State.ARRAY;
          return Step.END;
        }
        default -> throw new IllegalStateException("no such place: " + state);
      }
    }
  }

  /** Reads a line of a sign and a decimal number; false while it is not whole. */
  private boolean readLengthLine(ByteBuffer in, char prefix, int max)
      throws MalformedMessageException {
    while (in.hasRemaining()) {
      byte nextByte = in.get();
      if (lineLength == 0) {
        if (nextByte != prefix) {
          throw new MalformedMessageException(
              "'" + prefix + "' expected, byte " + nextByte + " read");
        }
        number = 0;
      } else if (nextByte == '\n' && number < 0) {
        number = -number - 1;
        lineLength = 0;
        return true;
      } else if (nextByte == '\r' && lineLength > 1 && number >= 0) {
        // Turned over, to know that only the line's end may follow.
        number = -number - 1;
      } else if (nextByte < '0' || nextByte > '9' || number < 0) {
        throw new MalformedMessageException("no number after '" + prefix + "'");
      } else {
        number = number * 10 + nextByte - '0';
        if (lineLength > MAX_DIGITS || number > max) {
          throw new MalformedMessageException("over " + max + " after '" + prefix + "'");
        }
      }
      lineLength++;
    }
    return false;
  }
}
