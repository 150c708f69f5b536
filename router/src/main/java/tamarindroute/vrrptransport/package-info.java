/**
 * Transport of VRRP over UDP: sends and receives sealed advertisements and grant messages, and runs
 * the timers of the elections. Package {@code tamarindroute.vrrp} decides who is active. Whoever
 * acts for a shared address checks {@link tamarindroute.vrrptransport.VirtualRouter#mayAct} first.
 */
package tamarindroute.vrrptransport;
