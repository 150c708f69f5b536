package tamarindroute.log;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The program's log, a facade over SLF4J. A line has a topic, which docs/oncall.md explains, a
 * message, and optional named fields. Lines are rate-limited by topic; the first line after
 * suppressed ones says how many they were.
 */
public final class Log {

  /** The program's own logger; all others belong to libraries. */
  static final String LOGGER_NAME = "tamarindroute";

  /** The key of the topic in a logging event. */
  static final String TOPIC_KEY = "topic";

  /** The key of the number of lines of the topic that were suppressed before this one. */
  static final String SUPPRESSED_KEY = "left_out";

  /** How lines are written. */
  public enum Format {
    /** Plain lines, with the smallest use of memory. */
    SMALL,
    /** Plain lines, through Logback. */
    PLAIN,
    /** One JSON object a line, through Logback. */
    JSON
  }

  /** Enough for a change of each of a few dozen members at once; thousands are only counted. */
  private static final int MAX_CHANGES_PER_WINDOW = 64;

  private static final LogRateLimiter RATE_LIMITER = new LogRateLimiter();

  private Log() {}

  /** Sets the format; has an effect only before the first line. */
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

  /** Initializes SLF4J at the first line, so that the format can be set before. */
  private static final class LoggerHolder {
    static final Logger LOGGER = LoggerFactory.getLogger(LOGGER_NAME);
  }

  /** Writes a line, unless the topic had one within the last second. */
  public static void info(String topic, Object message) {
    infoWithFields(topic, message);
  }

  /**
   * The same with named fields.
   *
   * @param fields alternating names and values
   */
  public static void infoWithFields(String topic, Object message, Object... fields) {
    write(RATE_LIMITER.admit(topic), topic, message, fields);
  }

  /**
   * Writes a line that describes a change: several a second of one topic, since they differ from
   * each other.
   */
  public static void change(String topic, Object message) {
    write(RATE_LIMITER.admitUpTo(topic, MAX_CHANGES_PER_WINDOW), topic, message);
  }

  private static void write(int suppressed, String topic, Object message, Object... fields) {
    if (suppressed == LogRateLimiter.SUPPRESSED) {
      return;
    }
    LoggingEventBuilder event = LoggerHolder.LOGGER.atInfo().addKeyValue(TOPIC_KEY, topic);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      event = event.addKeyValue(String.valueOf(fields[i]), fields[i + 1]);
    }
    if (suppressed > 0) {
      event = event.addKeyValue(SUPPRESSED_KEY, suppressed);
    }
    event.log(String.valueOf(message));
  }

  /**
   * Writes a line for an exception that is a defect of the program, with the place where it was
   * thrown. In a full heap the line is given up rather than the calling thread.
   */
  public static void defect(Throwable failure) {
    try {
      info("defect", describe(failure, 1));
    } catch (OutOfMemoryError e) {
      // The exception to tell of is most likely the same.
    }
  }

  /** The exception with the first frames of its stack trace, in one line. */
  static String describe(Throwable failure, int frames) {
    return failure
        + Arrays.stream(failure.getStackTrace())
            .limit(frames)
            .map(frame -> " at " + frame)
            .collect(Collectors.joining());
  }
}
