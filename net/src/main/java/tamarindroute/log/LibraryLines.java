package tamarindroute.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;

/** The guard for what libraries write through logback: one line a second of each logger's. */
public final class LibraryLines extends Filter<ILoggingEvent> {

  private final LogRateLimiter rateLimiter = new LogRateLimiter();

  @Override
  public FilterReply decide(ILoggingEvent event) {
    return event.getLoggerName().equals(Log.LOGGER_NAME)
            || rateLimiter.admit(event.getLoggerName(), event.getTimeStamp()) >= 0
        ? FilterReply.NEUTRAL
        : FilterReply.DENY;
  }
}
