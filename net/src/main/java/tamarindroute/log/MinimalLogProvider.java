package tamarindroute.log;

import java.util.List;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Marker;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.LoggingEventAware;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J provider without a logging library, for gateways whose memory has no room for one: writes
 * plain lines to standard output, and of libraries only warnings and errors. Loaded by name through
 * the system property that {@link Log#useFormat} sets.
 */
public final class MinimalLogProvider implements SLF4JServiceProvider {

  private static final class MinimalLogger extends LegacyAbstractLogger
      implements LoggingEventAware {

    private static final long serialVersionUID = 1L;

    private static final int LIBRARY_STACK_FRAMES = 6;

    private final boolean isProgramLogger;

    MinimalLogger(String name) {
      this.name = name;
      this.isProgramLogger = name.equals(Log.LOGGER_NAME);
    }

    @Override
    public void log(LoggingEvent event) {
      if (isProgramLogger) {
        System.out.println(format(event));
      } else {
        logLibraryMessage(event.getMessage(), event.getThrowable());
      }
    }

    /** The line {@code MILLIS TOPIC: MESSAGE NAME=VALUE ... (+SUPPRESSED)}. */
    private static String format(LoggingEvent event) {
      StringBuilder line = new StringBuilder().append(System.currentTimeMillis()).append(' ');
      StringBuilder fields = new StringBuilder();
      String suppressed = "";
      List<KeyValuePair> pairs = event.getKeyValuePairs();
      for (KeyValuePair pair : pairs == null ? List.<KeyValuePair>of() : pairs) {
        switch (pair.key) {
          case Log.TOPIC_KEY -> line.append(pair.value).append(": ");
          case Log.SUPPRESSED_KEY -> suppressed = " (+" + pair.value + ")";
          default -> fields.append(' ').append(pair.key).append('=').append(pair.value);
        }
      }
      return line.append(event.getMessage()).append(fields).append(suppressed).toString();
    }

    private static void logLibraryMessage(String message, Throwable thrown) {
      String description = thrown == null ? "" : " " + Log.describe(thrown, LIBRARY_STACK_FRAMES);
      Log.info("library", message + description);
    }

    @Override
    protected void handleNormalizedLoggingCall(
        Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
      logLibraryMessage(MessageFormatter.basicArrayFormat(pattern, arguments), thrown);
    }

    @Override
    protected String getFullyQualifiedCallerName() {
      return null;
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public boolean isInfoEnabled() {
      return isProgramLogger;
    }

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }
  }

  /** The highest version of the 2.0 API, as SLF4J prescribes. */
  private static final String SLF4J_API_VERSION = "2.0.99";

  private final ILoggerFactory loggerFactory = MinimalLogger::new;
  private final IMarkerFactory markerFactory = new BasicMarkerFactory();

  @Override
  public ILoggerFactory getLoggerFactory() {
    return loggerFactory;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markerFactory;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return new NOPMDCAdapter();
  }

  @Override
  public String getRequestedApiVersion() {
    return SLF4J_API_VERSION;
  }

  @Override
  public void initialize() {}
}
