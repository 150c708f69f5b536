/**
 * The program's log: a facade over SLF4J, a rate limiter by topic, and a minimal SLF4J provider for
 * gateways with little memory. Used by all other packages; depends on none of them.
 */
package tamarindroute.log;
