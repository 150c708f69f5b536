/**
 * Owns what any front needs of one instance of the module, whatever it speaks with its clients: the
 * owner's thread with its timers, the list of caches by their ids, the control feed, the platform's
 * configuration. It must never know a front, nor decide anything; fronts stand on it and do not
 * know each other.
 */
package tamarindroute.host;
