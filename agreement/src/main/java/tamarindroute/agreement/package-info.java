/**
 * The membership view that the voters agree on: its numbered versions, the commands that change it,
 * the view lease of non-voting members, and the bootstrap of a voter group.
 *
 * <p>Everything except the interface {@link tamarindroute.agreement.Agreement} is pure: no sockets,
 * files, threads or clocks. Package {@code raft} implements that interface with the consensus
 * library MicroRaft, package {@code wire} encodes the messages, and package {@code store} persists
 * a voter's state. Module {@code members} sends and receives the messages and supplies the time.
 */
package tamarindroute.agreement;
