package tamarindroute.wirehost;

import java.io.IOException;

/** The input is not in the simulator's wire format. */
public final class MalformedFrameException extends IOException {

  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}
