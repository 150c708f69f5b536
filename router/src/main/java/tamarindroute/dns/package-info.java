/**
 * Contents of DNS answers: which names exist, which caches answer them and for how long, the load
 * that answers bring while resolvers cache them, response rate limits, and the encoding of queries
 * and responses. Free of I/O, clocks and threads.
 *
 * <p>{@code decision} provides the routing policy that knows the caches; {@code nameserver}
 * connects this package to sockets; {@code resolver} asks other name servers.
 */
package tamarindroute.dns;
