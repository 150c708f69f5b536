/**
 * Asks other name servers: selection of upstreams, timeouts and retries, validation of answers, and
 * their cache. Only {@link tamarindroute.resolver.Forwarder} and its questions do I/O, on the event
 * loop; the other classes are free of I/O and clocks.
 *
 * <p>{@code nameserver} uses this package for forwarded zones and for the feed's host name.
 */
package tamarindroute.resolver;
