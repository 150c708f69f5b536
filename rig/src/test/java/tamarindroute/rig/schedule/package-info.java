/**
 * The language of schedules: which processes run, which actions happen to them and when, and what
 * is expected of the run. Package {@code play} executes a schedule, {@code check} judges the run.
 */
package tamarindroute.rig.schedule;
