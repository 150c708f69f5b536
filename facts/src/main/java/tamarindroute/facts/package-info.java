/**
 * Facts that members share by gossip: the control feed's events by number, opinions of caches, and
 * work in flight on cold caches. Defines how copies are merged, what is dropped first, and what is
 * sent to whom.
 *
 * <p>Pure: no clocks, sockets or threads; times are passed in, and no two clocks are compared.
 * Facts of others can make a cache look worse here, never better. Module {@code membership} knows
 * the members; package {@code shares} divides a quota among them.
 */
package tamarindroute.facts;
