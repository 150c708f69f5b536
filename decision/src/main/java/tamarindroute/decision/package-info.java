/**
 * The interface between a front and its routing policy: {@link
 * tamarindroute.decision.RoutingPolicy} and the plain values that it accepts and returns. Fronts
 * are the gateway on sockets, the name server and the adapter to the simulator.
 *
 * <p>The package does not depend on any protocol, socket, thread or clock, nor on any other package
 * of the project. Times are {@link java.time.Duration}s since the start of the instance. A policy
 * is used by one thread at a time, and none of these types is thread-safe. The implementation is in
 * {@code tamarindroute.policy}.
 */
package tamarindroute.decision;
