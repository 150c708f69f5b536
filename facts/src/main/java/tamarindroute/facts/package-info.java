/**
 * Owns what members tell each other: the feed's events by number, opinions of caches, work in hand;
 * how it is merged, what falls out first, and what is sent to whom. It must never compare wall
 * clocks, let an old word make a cache better than what is known here, nor touch a clock, a socket
 * or a thread.
 */
package tamarindroute.facts;
