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
  static final String LOGGER_NAME = "tamarindroute";

  static final String TOPIC_KEY = "topic";

  /** How many lines of the topic were left out since the last one. */
  static final String SUPPRESSED_KEY = "left_out";

  /** Which provider writes, and in which form. */
  public enum Format {
    SMALL,
    PLAIN,
    JSON
  }

  /** A change each of a few dozen members at once; what thousands do at once is counted. */
  private static final int MAX_CHANGES_PER_WINDOW = 64;

  private static final LogRateLimiter RATE_LIMITER = new LogRateLimiter();

  private Log() {}

  /** Chooses who writes; before the first line, else it has no effect. */
  public static void useFormat(Format format) {
    System.setProperty("slf4j.internal.verbosity", "WARN");
    System.setProperty(
        "slf4j.provider",
        format == Format.SMALL
            ? MinimalLogProvider.class.getName()
            : "ch.qos.logback.classic.spi.LogbackServiceProvider");
    System.setProperty(
        "logback.configurationFile", format == Format.JSON ? "logback-json.xml" : "logback.xml");
  }

  /** SLF4J is asked for at the first line, so that a form can be chosen before. */
  private static final class LoggerHolder {
    static final Logger LOGGER = LoggerFactory.getLogger(LOGGER_NAME);
  }

  /** One line: the topic and the particulars. */
  public static void info(String topic, Object particulars) {
    infoWithFields(topic, particulars);
  }

  /** One line with named values: a name, its value, and so on. */
  public static void infoWithFields(String topic, Object particulars, Object... fields) {
    write(RATE_LIMITER.admit(topic), topic, particulars, fields);
  }

  /**
   * One line of a topic whose lines are changes that differ from each other: some a second pass.
   */
  public static void change(String topic, Object particulars) {
    write(RATE_LIMITER.admitUpTo(topic, MAX_CHANGES_PER_WINDOW), topic, particulars);
  }

  private static void write(int suppressed, String topic, Object particulars, Object... fields) {
    if (suppressed < 0) {
      return;
    }
    LoggingEventBuilder event = LoggerHolder.LOGGER.atInfo().addKeyValue(TOPIC_KEY, topic);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      event = event.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
    }
    if (suppressed > 0) {
      event = event.addKeyValue(SUPPRESSED_KEY, suppressed);
    }
    event.log(String.valueOf(particulars));
  }

  /** A failure of the program's own: its kind and the first place it passed. */
  public static void defect(Throwable failure) {
    info("defect", describe(failure, 1));
  }

  static String describe(Throwable failure, int frames) {
    return failure
        + Arrays.stream(failure.getStackTrace())
            .limit(frames)
            .map(place -> " at " + place)
            .collect(Collectors.joining());
  }
}
