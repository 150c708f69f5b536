/**
 * Owns what DNS answers say: which names there are, who is answered with which caches and for how
 * long, what load answers that are still kept bring, who asks too often, and what stands in an
 * answer's bytes. It asks the module what it holds of each cache and must never judge one itself,
 * never touch a socket, a file, a clock or a thread.
 */
package tamarindroute.dns;
