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
public final class Small implements SLF4JServiceProvider {

  private static final class Lines extends LegacyAbstractLogger implements LoggingEventAware {

    private static final long serialVersionUID = 1L;

    private final boolean own;

    Lines(String name) {
      this.name = name;
      this.own = name.equals(Log.NAME);
    }

    @Override
    public void log(LoggingEvent event) {
      if (!own) {
        library(event.getMessage(), event.getThrowable());
        return;
      }
      StringBuilder line = new StringBuilder().append(System.currentTimeMillis()).append(' ');
      StringBuilder named = new StringBuilder();
      Object leftOut = null;
      List<KeyValuePair> pairs = event.getKeyValuePairs();
      for (KeyValuePair pair : pairs == null ? List.<KeyValuePair>of() : pairs) {
        if (pair.key.equals(Log.TOPIC)) {
          line.append(pair.value).append(": ");
        } else if (pair.key.equals(Log.LEFT_OUT)) {
          leftOut = pair.value;
        } else {
          named.append(' ').append(pair.key).append('=').append(pair.value);
        }
      }
      line.append(event.getMessage())
          .append(named)
          .append(leftOut == null ? "" : " (+" + leftOut + ")");
      System.out.println(line);
    }

    private static void library(String text, Throwable thrown) {
      Log.line("library", text + (thrown == null ? "" : " " + Log.told(thrown, 6)));
    }

    @Override
    protected void handleNormalizedLoggingCall(
        Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
      library(MessageFormatter.basicArrayFormat(pattern, arguments), thrown);
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
      return own;
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

  private final ILoggerFactory loggers = Lines::new;
  private final IMarkerFactory markers = new BasicMarkerFactory();

  @Override
  public ILoggerFactory getLoggerFactory() {
    return loggers;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
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
