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
    MORE,
    /** The words are whole and the body's length is known. */
    HEAD,
    /** A slice of the body. */
    BODY,
    /** The frame is over. */
    END
  }

  private enum At {
    ARRAY,
    LENGTH,
    WORD,
    BODY,
    STRING_END,
    FRAME_END
  }

  /** No count or length of the protocol has more digits. */
  private static final int MOST_DIGITS = 7;

  private final int mostWords;
  private final int longestWord;
  private final int longestBody;

  private At at = At.ARRAY;
  private final List<String> words = new ArrayList<>();
  private int elements;
  private int bodyLength;
  private boolean inBody;
  private ByteBuffer body;
  private byte[] word;
  private int left;
  private int lineLength;
  private int number;

  public RespReader(int mostWords, int longestWord, int longestBody) {
    this.mostWords = mostWords;
    this.longestWord = longestWord;
    this.longestBody = longestBody;
  }

  /** The words of the frame; whole from HEAD to END. */
  public List<String> words() {
    return words;
  }

  /** Whether the frame has a body, be it empty. */
  public boolean hasBody() {
    return inBody;
  }

  public int bodyLength() {
    return bodyLength;
  }

  /** The slice that BODY announced. */
  public ByteBuffer body() {
    return body;
  }

  /** Whether no frame is under way. */
  public boolean atRest() {
    return at == At.ARRAY && lineLength == 0;
  }

  public Step next(ByteBuffer in) throws MalformedException {
    while (true) {
      switch (at) {
        case ARRAY -> {
          if (!line(in, '*', mostWords + 1)) {
            return Step.MORE;
          }
          if (number < 1) {
            throw new MalformedException("an empty array");
          }
          elements = number;
          words.clear();
          bodyLength = 0;
          inBody = false;
          at = At.LENGTH;
        }
        case LENGTH -> {
          inBody = words.size() == mostWords;
          if (!line(in, '$', inBody ? longestBody : longestWord)) {
            return Step.MORE;
          }
          left = number;
          if (inBody) {
            bodyLength = number;
            at = At.BODY;
            return Step.HEAD;
          }
          word = new byte[number];
          at = At.WORD;
        }
        case WORD -> {
          int some = Math.min(left, in.remaining());
          in.get(word, word.length - left, some);
          left -= some;
          if (left > 0) {
            return Step.MORE;
          }
          words.add(new String(word, StandardCharsets.UTF_8));
          at = At.STRING_END;
        }
        case BODY -> {
          if (left == 0) {
            at = At.STRING_END;
            continue;
          }
          int some = Math.min(left, in.remaining());
          if (some == 0) {
            return Step.MORE;
          }
          body = in.slice(in.position(), some);
          in.position(in.position() + some);
          left -= some;
          return Step.BODY;
        }
        case STRING_END -> {
          while (lineLength < 2) {
            if (!in.hasRemaining()) {
              return Step.MORE;
            }
            if (in.get() != (lineLength == 0 ? '\r' : '\n')) {
              throw new MalformedException("a string longer than told");
            }
            lineLength++;
          }
          lineLength = 0;
          if (inBody) {
            at = At.FRAME_END;
          } else if (words.size() == elements) {
            at = At.FRAME_END;
            return Step.HEAD;
          } else {
            at = At.LENGTH;
          }
        }
        case FRAME_END -> {
          at = At.ARRAY;
          return Step.END;
        }
        default -> throw new IllegalStateException("no such place: " + at);
      }
    }
  }

  /** Reads a line of a sign and a decimal number; false while it is not whole. */
  private boolean line(ByteBuffer in, char sign, int most) throws MalformedException {
    while (in.hasRemaining()) {
      byte b = in.get();
      if (lineLength == 0) {
        if (b != sign) {
          throw new MalformedException("'" + sign + "' expected, byte " + b + " read");
        }
        number = 0;
      } else if (b == '\n' && number < 0) {
        number = -number - 1;
        lineLength = 0;
        return true;
      } else if (b == '\r' && lineLength > 1 && number >= 0) {
        // Turned over, to know that only the line's end may follow.
        number = -number - 1;
      } else if (b < '0' || b > '9' || number < 0) {
        throw new MalformedException("no number after '" + sign + "'");
      } else {
        number = number * 10 + b - '0';
        if (lineLength > MOST_DIGITS || number > most) {
          throw new MalformedException("over " + most + " after '" + sign + "'");
        }
      }
      lineLength++;
    }
    return false;
  }
}
