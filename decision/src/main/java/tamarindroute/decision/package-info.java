/**
 * Owns what a front and its decision module say to each other: the interface Decisions and its
 * plain values. It must never know a protocol, a socket, a thread or a clock, nor any other package
 * of ours.
 */
package tamarindroute.decision;
