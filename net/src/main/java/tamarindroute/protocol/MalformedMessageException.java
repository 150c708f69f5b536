package tamarindroute.protocol;

import java.io.IOException;

/** The bytes read are not of the protocol; the message says in a few words why. */
public final class MalformedMessageException extends IOException {

  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message);
  }
}
