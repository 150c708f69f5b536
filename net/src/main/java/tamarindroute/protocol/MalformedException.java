package tamarindroute.protocol;

import java.io.IOException;

/** The bytes read are not of the protocol; the message says in a few words why. */
public final class MalformedException extends IOException {

  private static final long serialVersionUID = 1L;

  public MalformedException(String message) {
    super(message);
  }
}
