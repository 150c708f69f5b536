/**
 * Owns what lies between two processes: for each directed way a port that passes datagrams and
 * bytes on, and the faults of that way (loss, delay, doubling, reordering, cuts). It must never
 * read what it passes on, nor know who the two are.
 */
package tamarindroute.rig.proxy;
