/**
 * Owns the asking of other name servers: whom to ask next and how long to wait, what further
 * attempts are allowed, which answers are believed, and how long they are kept. Forwarder alone
 * sends; the others decide without I/O or clocks. It must never believe an answer for more than the
 * question and the zone that it was asked for.
 */
package tamarindroute.resolver;
