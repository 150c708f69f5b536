/**
 * Runs schedules of faults against real processes of the program; see docs/rig.md. Package {@code
 * schedule} parses a schedule, {@code play} executes it with the links of {@code proxy}, {@code
 * journal} records the run and {@code check} judges it.
 */
package tamarindroute.rig;
