/**
 * The journal of a run: each line that a process printed, each event at a stub and each action of
 * the rig, stamped by one monotonic clock. Package {@code check} judges it.
 */
package tamarindroute.rig.journal;
