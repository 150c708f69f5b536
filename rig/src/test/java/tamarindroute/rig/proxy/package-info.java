/**
 * Proxies between processes: for each directed link a port that forwards datagrams and connections
 * under the link's faults (loss, delay, duplication, reordering, cuts). Content is forwarded
 * unread.
 */
package tamarindroute.rig.proxy;
