/**
 * The agreed membership view: its numbered states, the commands that lead from one to the next, the
 * lease under which members without a vote hold it, and the bootstrap of a voter group.
 *
 * <p>Everything except the interface {@link tamarindroute.agreement.Agreement} is pure: no sockets,
 * files, threads or clocks. Package {@code raft} implements the agreement over MicroRaft, {@code
 * wire} encodes the messages, {@code store} persists a voter's state. Module {@code members}
 * carries the messages and drives the clocks.
 */
package tamarindroute.agreement;
