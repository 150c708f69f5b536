package tamarindroute.policy;

import tamarindroute.decision.Request;

/**
 * The inputs of one planning step, shared by all its conditions.
 *
 * @param request the request to be sent
 * @param cost what an attempt costs of a cold cache's budget, in seconds of transfer
 * @param now seconds since the start of the instance
 */
record PlanningContext(Request request, double cost, double now) {}
