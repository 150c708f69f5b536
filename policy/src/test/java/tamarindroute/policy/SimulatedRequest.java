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
 * @param work size of its object, in seconds of transfer on an idle cache
 * @param value value of serving the request within its latency objective, in arbitrary units
 * @param home the hashed edge of its object at the time of its arrival
 */
record SimulatedRequest(
    Request request, RoutingPolicy gateway, double work, double value, Cache home) {

  /** Returns the time of arrival in seconds. */
  double arrivalTime() {
    return Seconds.seconds(request.arrivalTime);
  }
}
