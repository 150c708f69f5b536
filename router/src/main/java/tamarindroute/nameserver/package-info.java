/**
 * Owns the DNS front on sockets: taking queries in, probing the caches, handing on what is
 * another's, reading the settings again. It must never decide who is answered (package dns) or whom
 * to ask (package resolver), and never let one client's bytes cost another's query.
 */
package tamarindroute.nameserver;
