/**
 * Owns the command line: its words, its help, its exit codes. It must never do a command's work
 * itself, nor be on the way of a gateway of the operators' platform.
 */
package tamarindroute.cli;
