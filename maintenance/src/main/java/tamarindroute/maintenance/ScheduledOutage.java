package tamarindroute.maintenance;

import java.time.Duration;

/**
 * The outage of a cache that another window has scheduled.
 *
 * @param cache the name of the cache; the planner ignores unknown names
 * @param start agreed time from which the cache is out of service
 * @param end agreed time at which the cache is back, still cold
 */
public record ScheduledOutage(String cache, Duration start, Duration end) {}
