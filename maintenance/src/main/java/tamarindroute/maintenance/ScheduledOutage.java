package tamarindroute.maintenance;

import java.time.Duration;

/**
 * A cache that another agreed window takes out.
 *
 * @param cache the cache's name; an unknown one is ignored
 * @param start agreed time from which it is out
 * @param end agreed time at which it is back, still cold
 */
public record ScheduledOutage(String cache, Duration start, Duration end) {}
