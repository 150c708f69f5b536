/**
 * Owns the decisions on views, all of them. It must never do I/O, start threads, read clocks or
 * know a front.
 */
package tamarindroute.policy;
