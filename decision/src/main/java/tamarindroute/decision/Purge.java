package tamarindroute.decision;

import java.time.Duration;

/**
 * Copies older than made are out of date: of one object, or of a whole group where object is null.
 */
public record Purge(Long objectId, int group, Duration issuedAt) {}
