/**
 * Owns who of several gateways may hold a shared address: the advertisements of VRRP version 3 (RFC
 * 9568), their seal, the state machine with its lease, a third voter's grants, and how good a
 * candidate a gateway is. It must never touch a socket, a clock or a thread, nor the module: facts
 * are told to it, actions are carried out by others.
 */
package tamarindroute.vrrp;
