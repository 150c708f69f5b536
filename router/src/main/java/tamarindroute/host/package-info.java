/**
 * What every front end needs of one router instance, whatever protocol it speaks with its clients:
 * the event loop, the registry of caches kept up to date from the control feed, and the platform's
 * configuration file. The gateway and the name server build on this package; sockets come from
 * {@code tamarindroute.net}, routing decisions from {@code tamarindroute.decision}.
 */
package tamarindroute.host;
