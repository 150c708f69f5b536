/**
 * Encoding of the messages between members and voters, and of the values inside them, as Protocol
 * Buffers. A message is parsed completely and checked against all limits before it is used. Sends
 * nothing; the consensus library's own messages are decoded by package {@code raft}.
 */
package tamarindroute.agreement.wire;
