/**
 * Messages between members and their encoding as protobuf. Everything received is decoded
 * completely and checked against its bounds before it is used.
 *
 * <p>The schema is {@code members.proto}; its generated classes are used in this package only.
 * {@code tamarindroute.members} seals the encoded messages and sends them as datagrams.
 */
package tamarindroute.members.wire;
