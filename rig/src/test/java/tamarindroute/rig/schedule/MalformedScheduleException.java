package tamarindroute.rig.schedule;

/** A schedule that can't be played; the message says in which file and line, and why. */
public final class MalformedScheduleException extends Exception {

  private static final long serialVersionUID = 1;

  MalformedScheduleException(String file, int line, String why) {
    super(file + ":" + line + ": " + why);
  }
}
