/**
 * Encoding of the messages between members and voters, and of the values inside them, as Protocol
 * Buffers messages. A message is parsed completely and checked against all limits before it is
 * used. The consensus library's own messages are encoded and decoded by package {@code raft}. This
 * package sends and receives nothing.
 */
package tamarindroute.agreement.wire;
