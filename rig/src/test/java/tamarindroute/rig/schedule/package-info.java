/**
 * Owns the words of a schedule: who is there, what is done to whom and when, and what is expected
 * in the end. It must never do any of it.
 */
package tamarindroute.rig.schedule;
