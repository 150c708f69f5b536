/**
 * Owns the form of members' messages on the wire: the schema (members.proto), their bounds, and the
 * form levels that this program reads. It must never believe a message by halves: one is read whole
 * and within all bounds, or refused.
 */
package tamarindroute.members.wire;
