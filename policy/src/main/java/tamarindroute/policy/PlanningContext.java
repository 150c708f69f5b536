package tamarindroute.policy;

import tamarindroute.decision.Request;

/**
 * The inputs of one planning step, passed to all its conditions.
 *
 * @param request the request to be sent
 * @param cost cost of an attempt in the slow start budget of a cold cache, in seconds of transfer.
 *     It is the mean of the request class. With the cost of the single request the largest requests
 *     would hardly ever be admitted
 * @param now seconds since the start of the instance
 */
record PlanningContext(Request request, double cost, double now) {}
