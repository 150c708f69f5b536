/**
 * Sockets: TCP connections with clients, caches and the control feed, and UDP datagrams, on top of
 * Apache MINA. MINA's threads only hand events over to the event loop, given as a {@link
 * tamarindroute.net.Scheduler}, on which all handlers are called. Wire formats come from {@code
 * tamarindroute.protocol}.
 */
package tamarindroute.net;
