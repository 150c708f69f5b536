/**
 * Adapter between the operators' simulator and the routing policy: many simulated gateways on one
 * pipe, each with a policy of its own. The wire format is decoded and encoded in {@link
 * tamarindroute.wirehost.EventRecord}, {@link tamarindroute.wirehost.EndpointEntry}, {@link
 * tamarindroute.wirehost.LoadReportDecoder} and {@link tamarindroute.wirehost.ActionWriter};
 * decisions are made in {@code tamarindroute.decision}'s policies only.
 */
package tamarindroute.wirehost;
