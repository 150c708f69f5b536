/**
 * Durable storage of a voter's state: an append-only log of checksummed records on a storage
 * medium. Knows nothing of the records' content; package {@code raft} encodes them.
 */
package tamarindroute.agreement.store;
