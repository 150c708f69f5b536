/**
 * Implementation of {@link tamarindroute.agreement.Agreement} with the consensus library MicroRaft,
 * which implements the Raft algorithm (Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm", 2014).
 *
 * <p>This package supplies the library's clock, executor, random numbers, message encoding and
 * store. All of them run on one event loop, and the library's futures complete there as well, so
 * that a test in virtual time is reproducible. This package starts no threads.
 *
 * <p>{@link tamarindroute.agreement.raft.RaftVoter} is the entry point. No other package depends on
 * MicroRaft.
 */
package tamarindroute.agreement.raft;
