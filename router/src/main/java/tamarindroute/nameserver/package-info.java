/**
 * The name server on sockets: UDP and TCP queries, health checks of caches, reload of settings, and
 * the location of the control feed.
 *
 * <p>{@code dns} decides on answers, {@code resolver} asks other name servers, {@code host} runs
 * the control feed and the connections to caches, {@code config} reads the settings.
 */
package tamarindroute.nameserver;
