/**
 * The gateway on sockets: takes requests from clients, has them routed, forwards them to caches and
 * relays the responses.
 *
 * <p>A request passes {@link tamarindroute.gateway.ClientConnection}, {@link
 * tamarindroute.gateway.AdmissionControl}, {@link tamarindroute.gateway.Router}, {@link
 * tamarindroute.gateway.AttemptSender}, {@link tamarindroute.gateway.ResponseRelay} and {@link
 * tamarindroute.gateway.OutcomeHandler}; {@link tamarindroute.gateway.RequestPipeline} wires them
 * and {@link tamarindroute.gateway.GatewayServer} runs them. All of it runs on the event loop's
 * thread. Routing decisions are made by a {@code decision.RoutingPolicy}; {@code host} supplies the
 * event loop, the endpoints and the configuration, {@code net} the connections, {@code protocol}
 * the wire formats. Other front ends must not depend on this package.
 */
package tamarindroute.gateway;
