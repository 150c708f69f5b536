/**
 * The checkers that judge a run by its journal alone: what the stubs recorded and what the
 * processes printed. No code of the program is used, and no process is asked.
 */
package tamarindroute.rig.check;
