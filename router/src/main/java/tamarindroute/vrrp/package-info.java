/**
 * Election of the gateway that holds a shared address, by VRRP version 3 (RFC 9568): the
 * advertisements, the state machine, and what this project adds to the standard, namely the active
 * router's lease, the grants of voters and priorities that follow the gateway's condition.
 *
 * <p>The package uses no sockets, clocks or threads and nothing of the routing policy. Callers pass
 * in events, the time and the tracked state, and carry out the resulting actions.
 */
package tamarindroute.vrrp;
