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
 * The provider of a gateway whose memory has no room for a logging library (docs/architecture.md
 * has the figures): plain lines on standard output, of libraries only warnings. It must never do
 * more; the others use logback.
 */
public final class MinimalLogProvider implements SLF4JServiceProvider {

  private static final class MinimalLogger extends LegacyAbstractLogger
      implements LoggingEventAware {

    private static final long serialVersionUID = 1L;

    private final boolean isProgramLogger;

    MinimalLogger(String name) {
      this.name = name;
      this.isProgramLogger = name.equals(Log.LOGGER_NAME);
    }

    @Override
    public void log(LoggingEvent event) {
      if (!isProgramLogger) {
        logLibraryMessage(event.getMessage(), event.getThrowable());
        return;
      }
      StringBuilder line = new StringBuilder().append(System.currentTimeMillis()).append(' ');
      StringBuilder fields = new StringBuilder();
      Object suppressed = null;
      List<KeyValuePair> pairs = event.getKeyValuePairs();
      for (KeyValuePair pair : pairs == null ? List.<KeyValuePair>of() : pairs) {
        if (pair.key.equals(Log.TOPIC_KEY)) {
          line.append(pair.value).append(": ");
        } else if (pair.key.equals(Log.SUPPRESSED_KEY)) {
          suppressed = pair.value;
        } else {
          fields.append(' ').append(pair.key).append('=').append(pair.value);
        }
      }
      line.append(event.getMessage())
          .append(fields)
          .append(suppressed == null ? "" : " (+" + suppressed + ")");
      System.out.println(line);
    }

    private static void logLibraryMessage(String text, Throwable thrown) {
      Log.info("library", text + (thrown == null ? "" : " " + Log.describe(thrown, 6)));
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
    return "2.0.99";
  }

  @Override
  public void initialize() {}
}
