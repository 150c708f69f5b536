/**
 * Owns the carrying of the consensus library: its clock, its executor, its chance, its messages as
 * bytes and its store, all on the owner's thread, so that a test in virtual time runs the same
 * every time. Futures are the library's and are completed on that thread too. It must never start a
 * thread, and nothing outside may see the library.
 */
package tamarindroute.agreement.raft;
