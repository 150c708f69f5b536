package tamarindroute.wirehost;

import java.io.IOException;

/** What was read is not a frame of the wire. */
public final class MalformedFrameException extends IOException {

  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}
