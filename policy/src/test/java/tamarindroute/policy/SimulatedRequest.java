package tamarindroute.policy;

import tamarindroute.decision.Cache;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.numeric.Seconds;

/**
 * A client's request at its gateway.
 *
 * @param request the request as its gateway knows it
 * @param gateway the policy of its gateway
 * @param work size of its object, in seconds of an undisturbed transfer
 * @param value what serving it is worth
 * @param home the first cache of its object's ranking at its arrival
 */
record SimulatedRequest(
    Request request, RoutingPolicy gateway, double work, double value, Cache home) {

  double arrivalTime() {
    return Seconds.seconds(request.arrivalTime);
  }
}
