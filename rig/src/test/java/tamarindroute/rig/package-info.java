/**
 * Owns the tests of the rig and the playing of all schedules. It must never hold what a single
 * schedule needs.
 */
package tamarindroute.rig;
