/**
 * Owns who is there: identities, probes, suspicion and its refutation, stable cuts, one's own
 * pauses and being cut off. Each step goes from state, event and monotonic time to state and
 * actions; it must never touch a socket, a file, a thread or a clock, nor believe what a peer says
 * before it is bounded.
 */
package tamarindroute.membership;
