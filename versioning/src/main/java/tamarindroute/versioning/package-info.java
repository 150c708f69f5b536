/**
 * Schema versions of objects and requests while caches, gateways and clients are upgraded one by
 * one: which version a request uses, which version a repeated keyed request keeps, and how the
 * fleet's version is raised or taken back.
 *
 * <p>Choosing a cache is the job of module {@code policy}; agreeing on the fleet's version that of
 * {@code agreement}. Everything here is pure: no sockets, files, clocks or threads. No module uses
 * this one yet.
 */
package tamarindroute.versioning;
