package tamarindroute.decision;

import java.time.Duration;

/**
 * A purge: copies that were made before a point in time must not be served.
 *
 * @param objectId the purged object; null if a whole purge group is purged
 * @param group index of the purged group; used only if {@code objectId} is null
 * @param issuedAt time of the purge, since the start of the instance. Older copies are out of date
 */
public record Purge(Long objectId, int group, Duration issuedAt) {}
