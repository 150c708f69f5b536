package tamarindroute.log;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The facade that the whole program logs through: one kind of line a topic, explained in
 * docs/oncall.md, with its particulars and named values. It must never let a storm through,
 * whichever library writes the lines.
 */
public final class Log {

  /** The program's own logger; all others are libraries'. */
  static final String NAME = "tamarindroute";

  static final String TOPIC = "topic";

  /** How many lines of the topic were left out since the last one. */
  static final String LEFT_OUT = "left_out";

  /** Which provider writes, and in which form. */
  public enum Form {
    SMALL,
    PLAIN,
    JSON
  }

  /** A change each of a few dozen members at once; what thousands do at once is counted. */
  private static final int CHANGES = 64;

  private static final Guard GUARD = new Guard();

  private Log() {}

  /** Chooses who writes; before the first line, else it has no effect. */
  public static void form(Form form) {
    System.setProperty("slf4j.internal.verbosity", "WARN");
    System.setProperty(
        "slf4j.provider",
        form == Form.SMALL
            ? Small.class.getName()
            : "ch.qos.logback.classic.spi.LogbackServiceProvider");
    System.setProperty(
        "logback.configurationFile", form == Form.JSON ? "logback-json.xml" : "logback.xml");
  }

  /** SLF4J is asked for at the first line, so that a form can be chosen before. */
  private static final class Behind {
    static final Logger LOGGER = LoggerFactory.getLogger(NAME);
  }

  /** One line: the topic and the particulars. */
  public static void line(String topic, Object particulars) {
    event(topic, particulars);
  }

  /** One line with named values: a name, its value, and so on. */
  public static void event(String topic, Object particulars, Object... named) {
    write(GUARD.pass(topic), topic, particulars, named);
  }

  /**
   * One line of a topic whose lines are changes that differ from each other: some a second pass.
   */
  public static void change(String topic, Object particulars) {
    write(GUARD.passSome(topic, CHANGES), topic, particulars);
  }

  private static void write(int leftOut, String topic, Object particulars, Object... named) {
    if (leftOut < 0) {
      return;
    }
    LoggingEventBuilder event = Behind.LOGGER.atInfo().addKeyValue(TOPIC, topic);
    for (int i = 0; i + 1 < named.length; i += 2) {
      event = event.addKeyValue(String.valueOf(named[i]), named[i + 1]);
    }
    if (leftOut > 0) {
      event = event.addKeyValue(LEFT_OUT, leftOut);
    }
    event.log(String.valueOf(particulars));
  }

  /** A failure of the program's own: its kind and the first place it passed. */
  public static void defect(Throwable failure) {
    line("defect", told(failure, 1));
  }

  static String told(Throwable failure, int places) {
    return failure
        + Arrays.stream(failure.getStackTrace())
            .limit(places)
            .map(place -> " at " + place)
            .collect(Collectors.joining());
  }
}
