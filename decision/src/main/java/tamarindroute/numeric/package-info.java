/**
 * Numeric helpers of the routing policy: decaying values, hashing and times in seconds. The package
 * contains no tuned constants.
 */
package tamarindroute.numeric;
