/**
 * Owns the program's log: one facade over SLF4J, the guard of one line a second for each topic, and
 * the small provider that a gateway of 32 MB writes with. It must never know who logs, nor let a
 * storm through.
 */
package tamarindroute.log;
