/**
 * Schema versions of requests and responses while caches, gateways and clients are upgraded one by
 * one.
 *
 * <p>{@link tamarindroute.versioning.VersionNegotiation} selects the version of a request. {@link
 * tamarindroute.versioning.FirstAttemptVersions} records the version that retries of a keyed
 * request must keep. {@link tamarindroute.versioning.VersionRollout} raises the fleet version or
 * reverts a trial.
 *
 * <p>Module {@code policy} selects the cache, and module {@code agreement} replicates the agreed
 * fleet version. This package has no sockets, files, clocks or threads: callers pass in events and
 * times and carry out the returned actions. No module uses it yet.
 */
package tamarindroute.versioning;
