/**
 * Owns how the agreed view is carried: a voter's store and its messages, the lease at every member,
 * and when what the leader's membership holds goes into the view. It must never decide what is
 * agreed, nor act on a view past its lease.
 */
package tamarindroute.members.agreed;
