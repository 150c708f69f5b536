/**
 * Runs a gateway's membership on its event loop and carries messages between gateways: sealed UDP
 * datagrams, the settings file, the file that remembers the incarnation, replication of control
 * feed events and quotas shared under the agreed view.
 *
 * <p>{@link tamarindroute.members.MembershipService} is the entry point, loaded only if a gateway
 * is started with member settings. Who belongs to the group is decided by {@code
 * tamarindroute.membership}; the agreed view is in {@code tamarindroute.members.agreed}, the shared
 * quotas are in {@code tamarindroute.members.shares}. No message is handed on before it was
 * authenticated and decoded completely.
 */
package tamarindroute.members;
