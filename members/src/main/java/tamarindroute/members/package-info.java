/**
 * Owns how members reach each other: the socket, the seal and its numbers, the ways to each, the
 * settings, the lines for operators, and when the membership has its next step. It must never
 * decide who is there, nor hand on a message before its seal held and it was read whole.
 */
package tamarindroute.members;
