/**
 * Owns what `Main` and the command line share: the exit codes and the run of the platform's two
 * commands. It must never use the libraries of the command line, nor know who starts it.
 */
package tamarindroute.start;
