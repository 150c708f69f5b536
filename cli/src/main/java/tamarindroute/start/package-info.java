/**
 * What {@code Main} and the command line share: the exit codes and the launch of the platform's two
 * services. Uses none of the command line's libraries, for which a small gateway has no memory.
 */
package tamarindroute.start;
