/**
 * Owns what a play has heard: each line of a process, each event at a stand-in and each deed of the
 * rig, stamped by one monotonic clock. It must never judge a line.
 */
package tamarindroute.rig.journal;
