package tamarindroute.rig.schedule;

/** A schedule that can't be parsed; the message names the file, the line and the reason. */
public final class MalformedScheduleException extends Exception {

  private static final long serialVersionUID = 1;

  MalformedScheduleException(String file, int line, String reason) {
    super(file + ":" + line + ": " + reason);
  }
}
