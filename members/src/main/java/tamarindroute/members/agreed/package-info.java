/**
 * The agreed view at one member: a voter's part in the agreement, the lease under which every
 * member may act on the view, proposals, and the transport of the agreement's messages in
 * fragments.
 *
 * <p>{@link tamarindroute.members.agreed.AgreedViewService} is the entry point. The agreement
 * itself is in {@code tamarindroute.agreement}; the states of members that the leader proposes come
 * from {@code tamarindroute.membership}. Loaded only if voters are configured.
 */
package tamarindroute.members.agreed;
