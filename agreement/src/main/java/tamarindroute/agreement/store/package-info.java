/**
 * Owns what a voter must not forget: an append-only file of checksummed records, forced to the disk
 * before a word is given, and replaced as a whole from time to time. It must never take a damaged
 * record for a whole one, mend anything but the end that a crash has torn off, nor know what the
 * records say.
 */
package tamarindroute.agreement.store;
