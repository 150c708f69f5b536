/**
 * Carries leases of shared quotas between members: for each quota the holder's and the allocator's
 * side, their messages, and the probes by which an allocator finds out that nobody listens at an
 * address any more. Hands each granted share to the routing policies.
 *
 * <p>What a member may use is decided by {@code tamarindroute.shares}. {@link
 * tamarindroute.members.shares.LeaderLease} proves from the agreed view who allocates.
 */
package tamarindroute.members.shares;
