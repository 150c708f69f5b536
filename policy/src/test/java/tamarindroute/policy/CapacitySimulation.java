package tamarindroute.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.numeric.Seconds;

/**
 * A deterministic simulation of one location. The test knows the true capacity of each cache, and
 * the gateways know what the plan allows. Each transfer runs at full speed or, above the capacity
 * of a link, at an equal share of it. Time advances in fixed steps, and all randomness comes from
 * the seed of the plan.
 */
final class CapacitySimulation {

  private static final double STEP_SECONDS = 0.004;

  /** Interval between endpoint lists with live weights. */
  private static final double LIVE_WEIGHT_INTERVAL_SECONDS = 1;

  /** Time that the simulation continues after the last deadline. */
  private static final double MARGIN_SECONDS = 1;

  /** When a gateway decides again, and the attempt that is late then; null if none. */
  private record Timer(double at, SimulatedRequest request, Attempt attempt) {}

  private final SimulationPlan plan;

  /** Randomness of the clients, the same for all simulations with one seed. */
  private final Random clientRandom;

  private final Random random;
  private final SimulatedWorkload workload;
  private final SimulatedLocation location;
  private final SimulatedGateways gateways;
  private final SimulatedReports reports;
  private final double requestsPerSecond;
  private final SimulationResult result = new SimulationResult();
  private final List<SimulatedTransfer> transfers = new ArrayList<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingDouble(Timer::at));
  private double now;
  private int step;

  CapacitySimulation(SimulationPlan plan) {
    this.plan = plan;
    clientRandom = new Random(plan.seed());
    random = new Random(plan.seed() + 1000);
    workload = new SimulatedWorkload(plan);
    location = new SimulatedLocation(plan, workload);
    double capacity = location.edges().stream().mapToDouble(SimulatedCache::capacity).sum();
    requestsPerSecond = plan.load() * capacity / workload.meanWork();
    gateways = new SimulatedGateways(plan, location, random, clientRandom);
    reports = new SimulatedReports(plan);
    gateways.publishEndpoints(now);
    location.fillCaches(workload, gateways.any());
  }

  /** Returns the requests and how they ended. */
  SimulationResult result() {
    return result;
  }

  SimulatedCache edge(int index) {
    return location.edges().get(index);
  }

  /** Sets whether the origin fails all requests. */
  void setOriginFailing(boolean value) {
    location.setOriginFailing(value);
  }

  /** Returns the largest share of hashed edges that changed between endpoint lists. */
  double peakHomesMoved() {
    return gateways.peakHomesMoved();
  }

  /** Returns the peak load of a cold edge in a window, relative to an overload. */
  double peakColdLoad() {
    return peakOfEdges(SimulatedCache::peakColdLoad);
  }

  /** Returns the peak load of a cold edge in a window, relative to an overload plus scatter. */
  double peakColdLoadBeyondScatter() {
    return peakOfEdges(SimulatedCache::peakColdLoadBeyondScatter);
  }

  private double peakOfEdges(ToDoubleFunction<SimulatedCache> value) {
    return location.edges().stream().mapToDouble(value).max().orElseThrow();
  }

  /** Restarts an edge, empty and cold. Attempts there and fills from it are lost. */
  void restartEdge(int index, double capacity) {
    SimulatedCache edge = edge(index);
    edge.restart(capacity, now);
    gateways.publishEndpoints(now);
    endAll(transfer -> transfer.target() == edge, Result.CONNECTION_LOST, Detail.UNKNOWN);
    endAll(transfer -> transfer.sender() == edge, Result.FAILED, Detail.SOURCE_FAILED);
  }

  private void endAll(Predicate<SimulatedTransfer> condition, Result cause, Detail detail) {
    List.copyOf(transfers).stream()
        .filter(condition)
        .forEach(transfer -> end(transfer, cause, detail));
  }

  /** Replaces a gateway by one without state. The former one keeps its requests. */
  void restartGateway(int index) {
    gateways.restart(index, now);
  }

  /** Runs the simulation until every request is past its deadline. */
  void run() {
    NavigableMap<Double, Consumer<CapacitySimulation>> events = plan.events();
    double nextArrival = 0;
    double publishedAt = 0;
    double end = plan.seconds() + SimulatedWorkload.MAX_TIMEOUT_SECONDS + MARGIN_SECONDS;
    for (; now < end; now = ++step * STEP_SECONDS) {
      while (!events.isEmpty() && events.firstKey() <= now) {
        events.pollFirstEntry().getValue().accept(this);
      }
      if (hasLiveWeights() && now >= publishedAt + LIVE_WEIGHT_INTERVAL_SECONDS) {
        publishedAt = now;
        gateways.republishEndpoints(now);
      }
      while (nextArrival < Math.min(now, plan.seconds())) {
        sendRequest();
        nextArrival -= Math.log(1 - clientRandom.nextDouble()) / requestsPerSecond;
      }
      advanceTransfers();
      while (!timers.isEmpty() && timers.peek().at() <= now) {
        onTimer(timers.remove());
      }
    }
  }

  private boolean hasLiveWeights() {
    return plan.advertisedWeights() == SimulationPlan.AdvertisedWeights.LIVE;
  }

  private static Duration at(double seconds) {
    return Seconds.toDuration(seconds);
  }

  private void sendRequest() {
    int object = workload.drawObject(clientRandom);
    RoutingPolicy gateway = gateways.draw(clientRandom);
    Request request = workload.newRequest(object, now);
    Cache home = gateway.rankedCaches(object).get(0);
    SimulatedRequest simulated =
        new SimulatedRequest(request, gateway, workload.size(object), workload.value(object), home);
    result.add(simulated);
    execute(simulated, gateway.route(request, at(now)));
  }

  private void onTimer(Timer timer) {
    SimulatedRequest request = timer.request();
    boolean attemptOver = timer.attempt() != null && timer.attempt().outcome != null;
    if (!result.hasEnded(request) && !attemptOver) {
      execute(request, request.gateway().route(request.request(), at(now)));
    }
  }

  private void execute(SimulatedRequest request, Decision decision) {
    if (decision instanceof Attempt attempt) {
      send(request, attempt);
    } else if (decision instanceof Decision.Cancel cancel) {
      transfers.stream()
          .filter(transfer -> transfer.attempt() == cancel.attempt())
          .findFirst()
          .ifPresent(transfer -> end(transfer, Result.CANCELLED, Detail.UNKNOWN));
    } else if (decision instanceof Decision.Wait) {
      await(request);
    } else {
      boolean attempted = !request.request().attempts.isEmpty();
      result.end(
          request, attempted ? SimulationResult.Ending.GIVEN_UP : SimulationResult.Ending.REJECTED);
    }
  }

  /**
   * Schedules the next decision on a request without an outstanding attempt. If the gateway would
   * never decide again, the client waits in vain and the request is abandoned.
   */
  private void await(SimulatedRequest request) {
    if (result.hasEnded(request) || request.request().outstandingAttempt() != null) {
      return;
    }
    Duration delay = request.gateway().nextDecisionDelay(request.request(), at(now));
    if (delay == null) {
      result.abandon(request);
    } else {
      double wait = Math.max(STEP_SECONDS, Seconds.seconds(delay));
      timers.add(new Timer(now + wait, request, null));
    }
  }

  private void send(SimulatedRequest request, Attempt attempt) {
    result.countCell(request.request(), attempt);
    attempt.sentAt = at(now);
    request.request().attempts.add(attempt);
    if (attempt.expectedBy != null) {
      timers.add(new Timer(Seconds.seconds(attempt.expectedBy), request, attempt));
    }
    SimulatedTransfer transfer =
        new SimulatedTransfer(
            request,
            attempt,
            location.get(attempt.cache),
            location.outcomeOf(request, attempt, random));
    transfer.target().begin(request.work(), now, workload::coldLoadScatter);
    if (transfer.isFill()) {
      transfer.sender().begin(request.work(), now, workload::coldLoadScatter);
    }
    transfers.add(transfer);
  }

  private void advanceTransfers() {
    location.all().forEach(cache -> cache.beginStep(step));
    int inbound = 0;
    for (SimulatedTransfer transfer : transfers) {
      if (transfer.isSending()) {
        transfer.target().countSending();
        if (transfer.isFill()) {
          transfer.sender().countSending();
        }
        inbound += transfer.usesInboundLink() ? 1 : 0;
      }
    }
    double linkSpeed = Math.min(1, location.inboundLinkCapacity() / Math.max(1, inbound));
    List<SimulatedTransfer> ended = new ArrayList<>();
    for (SimulatedTransfer transfer : transfers) {
      transfer.advance(STEP_SECONDS, transfer.usesInboundLink() ? linkSpeed : 1, now);
      if (transfer.isDone() || transfer.isPastDeadline(now)) {
        ended.add(transfer);
      }
    }
    ended.forEach(this::endDoneOrTimedOut);
  }

  private void endDoneOrTimedOut(SimulatedTransfer transfer) {
    if (transfer.isDone()) {
      end(transfer, transfer.plannedOutcome().result(), transfer.plannedOutcome().detail());
    } else {
      end(transfer, Result.TIMED_OUT, Detail.UNKNOWN);
    }
  }

  private void end(SimulatedTransfer transfer, Result how, Detail detail) {
    if (!transfers.remove(transfer)) {
      return;
    }
    transfer.target().end();
    if (transfer.isFill()) {
      transfer.sender().end();
    }
    if (how == Result.SERVED) {
      recordServed(transfer);
    }
    SimulatedRequest request = transfer.request();
    boolean completed = result.hasEnded(request);
    transfer.attempt().outcome = reports.outcome(transfer, how, detail, completed, now);
    reports.reportLoad(transfer, how, step, now);
    execute(request, request.gateway().onOutcome(request.request(), transfer.attempt(), at(now)));
  }

  private void recordServed(SimulatedTransfer transfer) {
    SimulatedRequest request = transfer.request();
    double objective = SimulatedWorkload.objective(request.request(), request.work());
    boolean inTime = now <= request.arrivalTime() + objective;
    result.end(request, inTime ? SimulationResult.Ending.SERVED : SimulationResult.Ending.LATE);
    transfer.target().store(request.request().objectId, request.work());
    transfer.sender().store(request.request().objectId, request.work());
  }
}
