/**
 * Numeric helpers without any decision or tuned value: decaying values, spans in seconds, hashing.
 */
package tamarindroute.numeric;
