/**
 * The agreement over the consensus library MicroRaft: its clock, executor, random source, messages
 * and store, all on one event loop, so that a test in virtual time is reproducible. Futures of the
 * library complete on that event loop, too. Starts no threads.
 *
 * <p>{@link tamarindroute.agreement.raft.RaftVoter} is the entry point. No other package depends on
 * the library.
 */
package tamarindroute.agreement.raft;
