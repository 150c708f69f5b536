package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * One gateway of the simulator: its caches, pending requests and timers. Turns events into calls of
 * the routing policy, and the policy's decisions into actions.
 */
final class SimulatedGateway {

  /**
   * The cookie of the timer for another request of the list of caches; no request's timer has it.
   */
  private static final long LIST_TIMER_COOKIE = 1L << 62;

  /** A broken subscription is renewed after this part of the time that the settings allow. */
  private static final int LIST_REQUEST_DIVISOR = 4;

  private final int instance;
  private final long openedNanos;
  private final Duration listRequestInterval;
  private final List<RequestClass> requestClasses;
  private final LoadReportDecoder loadReports;
  private final RoutingPolicy policy;
  private final ActionWriter actions;
  private final Map<Integer, SimulatedRequest> pendingRequests = new HashMap<>();
  private final SimulatedCaches caches;

  /**
   * Starts a gateway.
   *
   * @param instance its number
   * @param openedNanos the clock time, which is the zero of the policy's times
   * @param settings of the gateway
   * @param policy that decides for this gateway alone
   * @param actions that decisions are written to
   * @throws MalformedSettingsException if a setting is unusable
   */
  SimulatedGateway(
      int instance,
      long openedNanos,
      SettingsReader settings,
      RoutingPolicy policy,
      ActionWriter actions)
      throws MalformedSettingsException {
    this.instance = instance;
    this.openedNanos = openedNanos;
    this.caches = new SimulatedCaches(settings, openedNanos);
    this.listRequestInterval = settings.subscribeWithin();
    this.requestClasses = settings.requestClasses();
    this.loadReports = new LoadReportDecoder(settings.reportFields());
    this.policy = policy;
    this.actions = actions;
    if (settings.mustSubscribe()) {
      actions.subscribeToList(instance);
    }
  }

  /**
   * Handles an event other than a change of the list of caches.
   *
   * @param code of the event
   * @param event of this instance
   * @param clockNanos the clock time
   */
  void handleEvent(EventCode code, EventRecord event, long clockNanos)
      throws MalformedFrameException {
    Duration now = sinceOpened(clockNanos);
    switch (code) {
      case ARRIVAL -> onArrival(event, now);
      case STARTED -> onStarted(event);
      case OUTCOME -> onOutcome(event, now);
      case CLIENT_GONE -> onClientGone(event);
      case TIMER -> onTimer(event.cookie(), now);
      case HEALTH -> onLoadReport(caches.get(event.checkedCache()), event.healthLoadReport(), now);
      case PURGE -> onPurge(event, now);
      case PEER_MESSAGE -> {
        // Gateways send each other nothing in the simulator.
      }
      case OPEN_INSTANCE, ENDPOINTS_CHANGED, CLOSE_INSTANCE, DEFINE_LIST ->
          throw new IllegalArgumentException(code + " is not handled by the instance");
    }
  }

  private Duration sinceOpened(long clockNanos) {
    return Duration.ofNanos(clockNanos - openedNanos);
  }

  /**
   * A request for the list of caches has failed, or the subscription has broken: it is renewed
   * later.
   */
  void onEndpointsFailed(long clockNanos) {
    long retryNanos = listRequestInterval.toNanos() / LIST_REQUEST_DIVISOR;
    actions.setTimer(instance, clockNanos + retryNanos, LIST_TIMER_COOKIE);
  }

  /**
   * The list of caches has changed.
   *
   * @param kind of the list
   * @param entries of the list
   * @param clockNanos the clock time
   */
  void onEndpoints(EndpointListKind kind, ByteBuffer entries, long clockNanos)
      throws MalformedFrameException {
    caches.update(entries, kind.isComplete());
    policy.onEndpoints(caches.sorted(), sinceOpened(clockNanos));
  }

  private void onArrival(EventRecord event, Duration now) throws MalformedFrameException {
    int classIndex = event.classIndex();
    if (classIndex >= requestClasses.size()) {
      throw new MalformedFrameException(
          "request class "
              + classIndex
              + " is not among the "
              + requestClasses.size()
              + " of the settings");
    }
    Request request =
        new Request(
            requestClasses.get(classIndex),
            event.objectId(),
            event.part(),
            event.group(),
            event.kilobytes(),
            now,
            now.plus(event.timeLeft()));
    SimulatedRequest pending = new SimulatedRequest(event.requestId(), request);
    pendingRequests.put(pending.requestId, pending);
    act(pending, policy.route(request, now), now);
  }

  /**
   * Writes the action for a decision, and sets a timer if the policy wants to decide again later.
   */
  private void act(SimulatedRequest pending, Decision decision, Duration now) {
    pending.timerGeneration++;
    if (decision instanceof Attempt attempt) {
      send(pending, attempt, now);
    } else if (decision instanceof Decision.Cancel cancel) {
      int attemptIndex = pending.request.attempts.indexOf(cancel.attempt());
      actions.cancel(instance, pending.requestId, attemptIndex);
    } else if (decision instanceof Decision.Reject reject) {
      actions.reject(instance, pending.requestId, reject.retryAfter());
      finish(pending);
    } else if (decision instanceof Decision.Fail) {
      actions.fail(instance, pending.requestId);
      finish(pending);
    }
    if (!pending.finished) {
      setTimer(pending, now);
    }
  }

  private void send(SimulatedRequest pending, Attempt attempt, Duration now) {
    attempt.sentAt = now;
    pending.request.attempts.add(attempt);
    pending.attemptsInFlight++;
    actions.send(instance, pending.requestId, attempt);
  }

  private void setTimer(SimulatedRequest pending, Duration now) {
    Duration delay = policy.nextDecisionDelay(pending.request, now);
    if (delay != null) {
      actions.setTimer(instance, openedNanos + now.plus(delay).toNanos(), pending.timerCookie());
    }
  }

  /** Completes the request, and forgets it once its last attempt has ended. */
  private void finish(SimulatedRequest pending) {
    pending.finished = true;
    if (pending.attemptsInFlight == 0) {
      pendingRequests.remove(pending.requestId);
    }
  }

  /** The response has begun: no timer applies any more. */
  private void onStarted(EventRecord event) {
    SimulatedRequest pending = pendingRequests.get(event.requestId());
    if (pending != null) {
      pending.timerGeneration++;
    }
  }

  private void onOutcome(EventRecord event, Duration now) throws MalformedFrameException {
    Result result = event.result();
    onLoadReport(caches.get(event.attemptedCache()), event.outcomeLoadReport(), now);
    SimulatedRequest pending = pendingRequests.get(event.requestId());
    Attempt attempt = pending == null ? null : pending.attemptInFlight(event.attemptIndex());
    if (attempt == null) {
      return;
    }
    boolean completed = pending.finished || event.requestCompleted();
    attempt.outcome =
        new Outcome(result, event.detail(), event.duration(), event.sourceWait(), completed);
    pending.attemptsInFlight--;
    Decision decision = policy.onOutcome(pending.request, attempt, now);
    if (completed) {
      pending.finished = true;
    }
    act(pending, decision, now);
    if (pending.finished) {
      finish(pending);
    }
  }

  private void onClientGone(EventRecord event) {
    SimulatedRequest pending = pendingRequests.get(event.requestId());
    if (pending != null) {
      finish(pending);
    }
  }

  private void onTimer(long cookie, Duration now) {
    if (cookie == LIST_TIMER_COOKIE) {
      actions.subscribeToList(instance);
      return;
    }
    SimulatedRequest pending = pendingRequests.get(SimulatedRequest.requestIdOf(cookie));
    if (pending != null && !pending.finished && pending.isCurrentTimer(cookie)) {
      act(pending, policy.route(pending.request, now), now);
    }
  }

  private void onPurge(EventRecord event, Duration now) {
    Duration issuedAt = now.minus(event.purgeAge());
    policy.onPurge(new Purge(event.purgedObject(), event.purgedGroup(), issuedAt), now);
  }

  private void onLoadReport(Cache cache, ByteBuffer bytes, Duration now) {
    LoadReport report = loadReports.decode(bytes);
    if (report != null) {
      policy.onLoadReport(cache, report, now);
    }
  }
}
