/**
 * Division of a shared quota among gateways: how much each may use of what a cold cache or a parent
 * can bear. One gateway, the leader, allocates shares as leases; a gateway without a lease uses its
 * fixed share.
 *
 * <p>Pure: no clocks, sockets or threads; times are passed in. Silence is never taken as proof that
 * a gateway has ended, and nothing is allocated that a live one may still use. Package {@code
 * tamarindroute.members.shares} carries the messages.
 */
package tamarindroute.shares;
