/**
 * The interface between a front (the gateway on sockets, the name server, the simulator's adapter)
 * and its routing policy: {@link tamarindroute.decision.RoutingPolicy} and the plain values it
 * takes and returns.
 *
 * <p>The package knows no protocol, socket, thread or clock and depends on no other package of the
 * project. Times are {@link java.time.Duration}s since the start of the instance. A policy is used
 * by one thread at a time; none of these types is thread-safe. The implementation is in {@code
 * tamarindroute.policy}.
 */
package tamarindroute.decision;
