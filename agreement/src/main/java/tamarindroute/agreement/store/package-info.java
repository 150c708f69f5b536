/**
 * Durable storage of a voter's state: an append-only log of checksummed records on a storage
 * medium. A record is forced to the medium before the voter sends a message that relies on it. Only
 * a torn last record is repaired, by discarding it. The records' content is encoded by package
 * {@code raft}.
 */
package tamarindroute.agreement.store;
