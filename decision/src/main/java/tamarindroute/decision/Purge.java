package tamarindroute.decision;

import java.time.Duration;

/**
 * An order not to serve copies that were made before a point in time.
 *
 * @param objectId the purged object; null if a whole group is purged
 * @param group the purged group, where no object is named
 * @param issuedAt copies made before this are out of date
 */
public record Purge(Long objectId, int group, Duration issuedAt) {}
