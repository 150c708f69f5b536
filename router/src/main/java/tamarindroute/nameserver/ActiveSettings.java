package tamarindroute.nameserver;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.config.ServiceSettings;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.Location;
import tamarindroute.dns.QueryCounters;
import tamarindroute.dns.Responder;
import tamarindroute.dns.ResponseRateLimiter;
import tamarindroute.dns.ServerCookies;
import tamarindroute.dns.Steering;
import tamarindroute.host.RouterInstance;
import tamarindroute.net.Scheduler;
import tamarindroute.resolver.ForwardingRoute;

/**
 * The settings in use and what is built from them. Applying new settings keeps the load of answers
 * given before, and the state of whatever the change does not concern.
 */
final class ActiveSettings {

  private static final int SECRET_BYTES = 32;

  private final Scheduler scheduler;
  private final RouterInstance instance;
  private final EndpointDirectory directory;
  private final Map<Integer, RoutingPolicy> policyByZone;
  private final QueryCounters counters;
  private ServiceSettings settings;
  private ServerCookies cookies;
  private ResponseRateLimiter rateLimiter;
  private Steering steering;
  private Responder responder;
  private Map<DnsSettings.ForwardedZone, ForwardingRoute> routes = Map.of();
  private ForwardingRoute resolverRoute;

  ActiveSettings(
      Scheduler scheduler,
      RouterInstance instance,
      EndpointDirectory directory,
      Map<Integer, RoutingPolicy> policyByZone,
      QueryCounters counters) {
    this.scheduler = scheduler;
    this.instance = instance;
    this.directory = directory;
    this.policyByZone = policyByZone;
    this.counters = counters;
  }

  ServiceSettings settings() {
    return settings;
  }

  Responder responder() {
    return responder;
  }

  /** Returns the route to a zone of the settings in use. */
  ForwardingRoute routeTo(DnsSettings.ForwardedZone zone) {
    return routes.get(zone);
  }

  /** Returns the route to the resolvers for names in the settings; null without resolvers. */
  ForwardingRoute resolverRoute() {
    return resolverRoute;
  }

  /** Applies settings; builds everything first, so that a failure leaves the old ones in use. */
  void apply(ServiceSettings changed) {
    DnsSettings dns = changed.dns();
    ServerCookies newCookies = cookiesFor(dns);
    ResponseRateLimiter newRateLimiter = rateLimiterFor(dns.limits());
    Steering newSteering = steeringFor(dns);
    Responder newResponder = new Responder(dns, newSteering, newCookies, newRateLimiter, counters);
    Map<DnsSettings.ForwardedZone, ForwardingRoute> newRoutes = routesFor(changed);
    resolverRoute =
        changed.resolvers().isEmpty()
            ? null
            : ForwardingRoute.toResolvers(
                changed.resolvers(), changed.resolveTimeout(), instanceSeed(changed));
    cookies = newCookies;
    rateLimiter = newRateLimiter;
    steering = newSteering;
    responder = newResponder;
    routes = newRoutes;
    settings = changed;
    instance.transport().limitClients(dns.limits().maxConnections());
  }

  /** Returns the seed of this process, which a reload does not change. */
  private long instanceSeed(ServiceSettings changed) {
    return settings == null ? changed.platform().seed() : settings.platform().seed();
  }

  private ServerCookies cookiesFor(DnsSettings dns) {
    if (dns.cookies() != null) {
      return new ServerCookies(dns.cookies());
    }
    return cookies != null ? cookies : new ServerCookies(randomKeys());
  }

  private static DnsSettings.CookieKeys randomKeys() {
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    return new DnsSettings.CookieKeys(secret, null);
  }

  private ResponseRateLimiter rateLimiterFor(DnsSettings.Limits limits) {
    boolean unchanged =
        rateLimiter != null
            && settings.dns().limits().answersPerSecond() == limits.answersPerSecond()
            && settings.dns().limits().slip() == limits.slip();
    return unchanged
        ? rateLimiter
        : new ResponseRateLimiter(limits.answersPerSecond(), limits.slip());
  }

  private Steering steeringFor(DnsSettings dns) {
    if (dns.steering() == null) {
      return steering;
    }
    Map<String, RoutingPolicy> policyByLabel = new HashMap<>();
    for (Location location : dns.steering().locations()) {
      policyByLabel.put(location.label(), policyByZone.get(location.zoneIndex()));
    }
    return new Steering(dns.steering(), directory, policyByLabel, steering, scheduler.now());
  }

  private Map<DnsSettings.ForwardedZone, ForwardingRoute> routesFor(ServiceSettings changed) {
    long seed = instanceSeed(changed);
    Map<DnsSettings.ForwardedZone, ForwardingRoute> newRoutes = new HashMap<>();
    for (DnsSettings.ForwardedZone zone : changed.dns().forwardedZones()) {
      ForwardingRoute known = routes.get(zone);
      newRoutes.put(
          zone,
          known != null
              ? known
              : ForwardingRoute.toServers(
                  zone.zone(), zone.upstreams(), zone.timeout(), zone.maxStaleness(), seed));
    }
    return newRoutes;
  }
}
