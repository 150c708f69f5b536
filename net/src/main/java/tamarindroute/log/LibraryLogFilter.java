package tamarindroute.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;

/**
 * Logback filter that admits one line a second of each library's logger; the program's own lines
 * are limited by {@link Log}. Named in the Logback configuration files.
 */
public final class LibraryLogFilter extends Filter<ILoggingEvent> {

  private final LogRateLimiter rateLimiter = new LogRateLimiter();

  @Override
  public FilterReply decide(ILoggingEvent event) {
    if (event.getLoggerName().equals(Log.LOGGER_NAME)) {
      return FilterReply.NEUTRAL;
    }
    int suppressed = rateLimiter.admit(event.getLoggerName(), event.getTimeStamp());
    return suppressed == LogRateLimiter.SUPPRESSED ? FilterReply.DENY : FilterReply.NEUTRAL;
  }
}
