/**
 * Owns the carrying of VRRP over UDP: advertisements out and in, their seal, the timers that wake
 * the elections. It must never decide who is active (package vrrp), nor act for an address itself:
 * whoever does asks mayAct first.
 */
package tamarindroute.vrrptransport;
