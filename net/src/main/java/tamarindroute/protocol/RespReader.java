package tamarindroute.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental reader of one connection's RESP arrays of bulk strings: some arguments, then at most
 * one body.
 *
 * <p>Bytes are fed as they come, in pieces of any size. A body is given on in slices and never
 * held; nothing is allocated before its length is known to be within the limits.
 */
public final class RespReader {

  /** What the bytes read so far have brought. */
  public enum Step {
    /** All bytes are consumed and the frame goes on. */
    NEED_MORE_BYTES,
    /** The arguments are whole and the body's length is known. */
    HEADER,
    /** A slice of the body. */
    BODY,
    /** The frame has ended. */
    END
  }

  private enum State {
    ARRAY_LENGTH,
    STRING_LENGTH,
    ARGUMENT,
    BODY,
    STRING_END,
    FRAME_END
  }

  /** No count or length of the protocols has more digits. */
  private static final int MAX_DIGITS = 7;

  private final int maxArguments;
  private final int maxArgumentLength;
  private final int maxBodyLength;

  private State state = State.ARRAY_LENGTH;
  private final List<String> arguments = new ArrayList<>();
  private int elementCount;
  private int bodyLength;
  private boolean bodyExpected;
  private ByteBuffer body;
  private byte[] argument;

  /** Bytes of the bulk string that are still to come. */
  private int remaining;

  /** Bytes read of the length line or of the line end that follows a bulk string. */
  private int lineLength;

  private int number;
  private boolean numberEnded;

  /**
   * Creates a reader; all lengths are in bytes.
   *
   * @param maxArguments bulk strings before the body
   */
  public RespReader(int maxArguments, int maxArgumentLength, int maxBodyLength) {
    this.maxArguments = maxArguments;
    this.maxArgumentLength = maxArgumentLength;
    this.maxBodyLength = maxBodyLength;
  }

  /**
   * The frame's bulk strings before the body; whole from {@link Step#HEADER} to {@link Step#END}.
   */
  public List<String> arguments() {
    return arguments;
  }

  /** Whether the frame has a body, which may be empty. */
  public boolean hasBody() {
    return bodyExpected;
  }

  /** Length of the whole body. */
  public int bodyLength() {
    return bodyLength;
  }

  /** The slice that {@link Step#BODY} announced; valid until the next call. */
  public ByteBuffer body() {
    return body;
  }

  /** Whether no byte of a further frame has been read. */
  public boolean betweenFrames() {
    return state == State.ARRAY_LENGTH && lineLength == 0;
  }

  /**
   * Reads on to the next step.
   *
   * @throws MalformedMessageException if the bytes are no frame or exceed a limit; the reader is of
   *     no use then
   */
  public Step next(ByteBuffer in) throws MalformedMessageException {
    Step step = null;
    while (step == null) {
      step =
          switch (state) {
            case ARRAY_LENGTH -> readArrayLength(in);
            case STRING_LENGTH -> readStringLength(in);
            case ARGUMENT -> readArgument(in);
            case BODY -> readBody(in);
            case STRING_END -> readStringEnd(in);
            case FRAME_END -> endFrame();
          };
    }
    return step;
  }

  // Each of the following reads one state; null where the next state can be read on from here.

  private Step readArrayLength(ByteBuffer in) throws MalformedMessageException {
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
    return null;
  }

  private Step readStringLength(ByteBuffer in) throws MalformedMessageException {
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
    return null;
  }

  private Step readArgument(ByteBuffer in) {
    int count = Math.min(remaining, in.remaining());
    in.get(argument, argument.length - remaining, count);
    remaining -= count;
    if (remaining > 0) {
      return Step.NEED_MORE_BYTES;
    }
    arguments.add(new String(argument, StandardCharsets.UTF_8));
    state = State.STRING_END;
    return null;
  }

  private Step readBody(ByteBuffer in) {
    if (remaining == 0) {
      state = State.STRING_END;
      return null;
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

  private Step readStringEnd(ByteBuffer in) throws MalformedMessageException {
    while (lineLength < 2) {
      if (!in.hasRemaining()) {
        return Step.NEED_MORE_BYTES;
      }
      if (in.get() != (lineLength == 0 ? '\r' : '\n')) {
        throw new MalformedMessageException("a bulk string longer than its length says");
      }
      lineLength++;
    }
    lineLength = 0;
    if (bodyExpected) {
      state = State.FRAME_END;
      return null;
    }
    if (arguments.size() == elementCount) {
      state = State.FRAME_END;
      return Step.HEADER;
    }
    state = State.STRING_LENGTH;
    return null;
  }

  private Step endFrame() {
    state = State.ARRAY_LENGTH;
    return Step.END;
  }

  /**
   * Reads a line of a prefix and a decimal number into {@link #number}; false while it is not
   * whole.
   */
  private boolean readLengthLine(ByteBuffer in, char prefix, int max)
      throws MalformedMessageException {
    while (in.hasRemaining()) {
      byte next = in.get();
      if (lineLength == 0) {
        startLengthLine(next, prefix);
      } else if (next == '\n' && numberEnded) {
        lineLength = 0;
        return true;
      } else if (next == '\r' && lineLength > 1 && !numberEnded) {
        numberEnded = true;
      } else if (next < '0' || next > '9' || numberEnded) {
        throw new MalformedMessageException("no number after '" + prefix + "'");
      } else {
        addDigit(next, prefix, max);
      }
      lineLength++;
    }
    return false;
  }

  private void startLengthLine(byte first, char prefix) throws MalformedMessageException {
    if (first != prefix) {
      throw new MalformedMessageException("byte " + first + " where '" + prefix + "' is due");
    }
    number = 0;
    numberEnded = false;
  }

  private void addDigit(byte digit, char prefix, int max) throws MalformedMessageException {
    number = number * 10 + digit - '0';
    if (lineLength > MAX_DIGITS || number > max) {
      throw new MalformedMessageException("a number over " + max + " after '" + prefix + "'");
    }
  }
}
