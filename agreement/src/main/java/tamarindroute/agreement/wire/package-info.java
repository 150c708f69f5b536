/**
 * Owns the words in which voters and members speak of the agreed view, as bytes and back. A message
 * is read whole and bounded before any of it counts. It must never send, nor know the library that
 * agrees.
 */
package tamarindroute.agreement.wire;
