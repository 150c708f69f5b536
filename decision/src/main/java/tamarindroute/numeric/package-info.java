/**
 * Numeric helpers without any tuned value, used by the routing policy: decaying values, hashing,
 * times in seconds.
 */
package tamarindroute.numeric;
