package tamarindroute.nameserver;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.dns.HealthCheckScheduler;
import tamarindroute.dns.HealthCheckScheduler.HealthCheckResult;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Sends the probes that are due and tells the modules what they speak for. It must never choose
 * whom to probe, nor tell of a probe that did not leave.
 */
final class HealthChecker {

  /** Probes that are due go out this often; their spread over time is the budget's. */
  private static final Duration TICK = Duration.ofMillis(20);

  private final Scheduler scheduler;
  private final EndpointRegistry endpoints;
  private final HealthCheckScheduler healthChecks;
  private final List<RoutingPolicy> modules;
  private final Duration within;
  private long tags;

  HealthChecker(
      Scheduler scheduler,
      EndpointRegistry endpoints,
      HealthCheckScheduler healthChecks,
      List<RoutingPolicy> modules,
      Duration within) {
    this.scheduler = scheduler;
    this.endpoints = endpoints;
    this.healthChecks = healthChecks;
    this.modules = modules;
    this.within = within;
  }

  void tick() {
    healthChecks.takeDue(scheduler.now()).forEach(cache -> new Probe(cache).go());
    scheduler.schedule(TICK, this::tick);
  }

  private final class Probe implements ResponseHandler {

    private final Cache cache;
    private Runnable timer = () -> {};
    private Runnable quit = () -> {};
    private CacheResponse response;
    private boolean over;

    Probe(Cache cache) {
      this.cache = cache;
    }

    void go() {
      // The id of a probe is a number of its own; no view's id is so short.
      quit = endpoints.connectionPool(cache).sendHealthCheck(Long.toString(++tags), this);
      timer =
          scheduler.schedule(
              within,
              () -> {
                end(HealthCheckResult.TIMED_OUT);
                quit.run();
              });
    }

    @Override
    public void onResponse(CacheResponse head, int bodyLength) {
      response = head;
    }

    @Override
    public void onBody(ByteBuffer part, Connection from) {}

    @Override
    public void onComplete() {
      try {
        LoadReport loadReport = response.loadReport().orElse(null);
        if (loadReport != null && !over) {
          modules.forEach(module -> module.onLoadReport(cache, loadReport, scheduler.now()));
        }
      } catch (MalformedMessageException e) {
        Log.info("cache-protocol-error", e.getMessage());
      }
      end(response.isHealthy() ? HealthCheckResult.READY : HealthCheckResult.UNHEALTHY);
    }

    @Override
    public void onFailure(CloseReason closeReason, boolean written) {
      end(
          switch (closeReason) {
            case REFUSED, UNREACHABLE -> HealthCheckResult.REFUSED;
            case TIMED_OUT -> HealthCheckResult.TIMED_OUT;
            case NO_DESCRIPTOR, CLOSED_LOCALLY -> HealthCheckResult.NOT_SENT;
            default -> written ? HealthCheckResult.CONNECTION_LOST : HealthCheckResult.NOT_SENT;
          });
    }

    private void end(HealthCheckResult came) {
      if (over) {
        return;
      }
      over = true;
      timer.run();
      for (HealthCheckScheduler.Report told : healthChecks.onResult(cache, came, scheduler.now())) {
        modules.forEach(
            module -> module.onHealthCheck(told.cache(), told.result(), scheduler.now()));
      }
    }
  }
}
