/**
 * Executes a schedule: the processes that it starts and ends, the stub servers around them, the
 * clients. Signals go only to processes that it started, by their id. Package {@code check} judges
 * the result.
 */
package tamarindroute.rig.play;
