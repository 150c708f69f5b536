/**
 * Owns the carrying of shares: the holder and the dealer of each bound at one member, their words
 * as letters, when they are asked anew, whom the dealer asks whether anybody listens there, and the
 * telling of a part to the decisions. It must never decide what may be used or who leads, take
 * silence for death, nor tell a part that its holder does not hold at that moment.
 */
package tamarindroute.members.shares;
