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

/** Sends the health checks that are due and passes their results to the routing policies. */
final class HealthChecker {

  private static final Duration INTERVAL = Duration.ofMillis(20);

  private final Scheduler scheduler;
  private final EndpointRegistry endpoints;
  private final HealthCheckScheduler healthChecks;
  private final List<RoutingPolicy> policies;
  private final Duration timeout;
  private long lastCheckId;

  HealthChecker(
      Scheduler scheduler,
      EndpointRegistry endpoints,
      HealthCheckScheduler healthChecks,
      List<RoutingPolicy> policies,
      Duration timeout) {
    this.scheduler = scheduler;
    this.endpoints = endpoints;
    this.healthChecks = healthChecks;
    this.policies = policies;
    this.timeout = timeout;
  }

  /** Sends the checks that are due and schedules the next run. */
  void run() {
    healthChecks.takeDue(scheduler.now()).forEach(cache -> new HealthCheck(cache).start());
    scheduler.schedule(INTERVAL, this::run);
  }

  private final class HealthCheck implements ResponseHandler {

    private final Cache cache;
    private Runnable cancelTimeout = () -> {};
    private Runnable cancelRequest = () -> {};
    private CacheResponse response;
    private boolean ended;

    HealthCheck(Cache cache) {
      this.cache = cache;
    }

    void start() {
      lastCheckId++;
      cancelRequest =
          endpoints.connectionPool(cache).sendHealthCheck(Long.toString(lastCheckId), this);
      cancelTimeout = scheduler.schedule(timeout, this::onTimeout);
    }

    private void onTimeout() {
      end(HealthCheckResult.TIMED_OUT);
      cancelRequest.run();
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
        if (loadReport != null && !ended) {
          policies.forEach(policy -> policy.onLoadReport(cache, loadReport, scheduler.now()));
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

    private void end(HealthCheckResult result) {
      if (ended) {
        return;
      }
      ended = true;
      cancelTimeout.run();
      for (HealthCheckScheduler.Report report :
          healthChecks.onResult(cache, result, scheduler.now())) {
        policies.forEach(
            policy -> policy.onHealthCheck(report.cache(), report.result(), scheduler.now()));
      }
    }
  }
}
