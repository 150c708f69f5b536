package tamarindroute.policy;

import java.time.Duration;
import java.util.*;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import tamarindroute.decision.*;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.numeric.Seconds;

/**
 * A location in which the true capacity of each cache is known to the test and told to the gateways
 * as its plan says. The links of caches, and the one into the location, are shared by their
 * transfers: each runs at full pace or, where there are more than the link bears, at its even part.
 * Deterministic: time goes by steps, all chance comes from the plan's seed.
 */
final class CapacitySimulation {

  private static final double STEP = 0.004, PACE = 1000;
  private static final double REPORT_DELAY = 0.5, TOKEN_WINDOW = 3;
  private static final double HIT_WAIT = 0.005,
      SIBLING_WAIT = 0.01,
      PARENT_WAIT = 0.03,
      ORIGIN_WAIT = 0.1;

  /**
   * What a cache bears at its start, and when it is warm, and how many times that in what time
   * pushes it over.
   */
  private static final double COLD_FROM = 0.05, WARM_AFTER = 10, COLD_MULTIPLE = 2, COLD_WINDOW = 2;

  /** Sizes are lognormal, none above so many times the mean; ranks' shares fall with this power. */
  private static final double SIGMA = 0.9, LARGEST = 6, ZIPF = 0.9;

  private static final int OBJECTS = 3000;

  /**
   * Bytes held by each edge and parent, as a share of all objects' bytes; the inlet, of all edges'
   * capacity.
   */
  private static final double EDGE_HOLDS = 0.12, PARENT_HOLDS = 0.6, INLET = 0.4;

  /** The larger, more valued class, of the even objects, and the smaller one. */
  private static final double[] MEAN = {0.34, 0.06},
      STRETCH = {1.6, 2},
      DEADLINE = {5, 2.5},
      VALUE = {2, 1};

  private static final double TARGET = 0.4;

  /**
   * How a request ended; the first end counts: answered in its target or past it, or given up with
   * or without an attempt.
   */
  enum Ending {
    SERVED,
    LATE,
    GIVEN_UP,
    REJECTED
  }

  /** A client's request at its gateway, and the first of its caches at its arrival. */
  record SimulatedRequest(
      Request request, RoutingPolicy gateway, double work, double value, Cache home) {

    double arrived() {
      return Seconds.seconds(request.arrivalTime);
    }
  }

  /**
   * A cache as it truly is; at a start it bears a part of its capacity that rises in a straight
   * line.
   */
  final class SimulatedCache {
    final Cache cache;
    double capacity, speed = 1;
    boolean hung;
    private final double bytes;
    private double held, reachedWork;
    private int sending, inHand;
    private final int[] inHandBefore = new int[(int) (REPORT_DELAY / STEP)];
    private final LinkedHashMap<Long, Double> objects = new LinkedHashMap<>(512, 0.75f, true);

    /** The times and works of what reached it in the window of the cold rule. */
    private final Deque<double[]> reached = new ArrayDeque<>();

    SimulatedCache(long stableId, Cache.Tier tier, int cell, double capacity, double bytes) {
      this.cache = new Cache(stableId);
      this.capacity = capacity;
      this.bytes = bytes;
      cache.tier = tier;
      cache.cell = cell;
      simulatedCaches.put(cache, this);
      caches.add(cache);
    }

    boolean cold() {
      return cache.startedAt != null && now < Seconds.seconds(cache.startedAt) + WARM_AFTER;
    }

    double warmth(double at) {
      return cold()
          ? COLD_FROM + (1 - COLD_FROM) * (at - Seconds.seconds(cache.startedAt)) / WARM_AFTER
          : 1;
    }

    double pace() {
      return hung ? 0 : speed * Math.min(1, capacity * warmth(now) / Math.max(1, sending));
    }

    boolean holds(SimulatedRequest simulated) {
      return objects.get(simulated.request.objectId) != null;
    }

    void keep(long object, double size) {
      if (objects.put(object, size) == null) {
        held += size;
      }
      for (Iterator<Double> oldest = objects.values().iterator(); held > bytes; oldest.remove()) {
        held -= oldest.next();
      }
    }
  }

  /** What an attempt comes to after a wait, and its work where it is answered. */
  private record AttemptResult(SimulatedCache from, Result result, Detail detail, double delay) {}

  /** An attempt under way. */
  private static final class Transfer {
    final SimulatedRequest simulated;
    final Attempt attempt;
    final SimulatedCache at;
    final AttemptResult fate;
    double wait, work;

    Transfer(SimulatedRequest simulated, Attempt attempt, SimulatedCache at, AttemptResult fate) {
      this.simulated = simulated;
      this.attempt = attempt;
      this.at = at;
      this.fate = fate;
      this.wait = fate.delay;
      this.work = fate.result == Result.SERVED ? simulated.work : 0;
    }

    boolean done() {
      return wait <= 0 && work <= 0;
    }

    boolean fills() {
      return fate.from != at;
    }

    /** Whether it takes a part of the link into the location. */
    boolean comesIn() {
      return at.cache.tier != Cache.Tier.EDGE || fate.from.cache.tier != Cache.Tier.EDGE;
    }
  }

  /** When a gateway asks again; the attempt that is late then, if any. */
  private record Timer(double at, SimulatedRequest simulated, Attempt attempt) {}

  private final List<SimulatedRequest> requests = new ArrayList<>();
  private final Map<SimulatedRequest, Ending> ends = new IdentityHashMap<>();
  final List<SimulatedCache> edges = new ArrayList<>();
  private final RoutingPolicy[] gateways;

  /** Whether the origin fails whatever it is asked. */
  boolean originFails;

  /**
   * The greatest part of the cold rule's bound that reached any cold edge in a window, bare and
   * with room for chance.
   */
  double coldMost, coldMostOfChance;

  /** Further attempts in another cell after one that may have run, and those in the same cell. */
  int cellsLeft, cellsKept;

  /** Requests that a gateway neither sent nor answered nor would ask for again. */
  int abandoned;

  /** The greatest share of objects whose home moved from one list to the next. */
  double homesMoved;

  private final SimulationPlan plan;

  /**
   * Chance of the clients alone, so that plays of one seed have the same requests; and all other
   * chance.
   */
  private final Random clientRandom, random;

  private final Map<Cache, SimulatedCache> simulatedCaches = new IdentityHashMap<>();
  private final List<Cache> caches = new ArrayList<>();
  private final List<Transfer> transfers = new ArrayList<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingDouble(Timer::at));
  private final RequestClass[] requestClasses = new RequestClass[2];
  private final double[] clients, upTo = new double[OBJECTS], size = new double[OBJECTS];
  private final double inlet, perSecond;
  private double now, meanWork, meanSquare;
  private int steps;

  CapacitySimulation(SimulationPlan plan) {
    this.plan = plan;
    clientRandom = new Random(plan.seed);
    random = new Random(plan.seed + 1000);
    double capacity = Arrays.stream(plan.edges).sum();
    inlet = INLET * capacity;
    for (int i = 0; i < 2; i++) {
      requestClasses[i] =
          new RequestClass(
              plan.token ? RequestClass.Idempotency.KEYED : RequestClass.Idempotency.IDEMPOTENT,
              plan.token
                  ? RequestClass.DeduplicationScope.CELL
                  : RequestClass.DeduplicationScope.ALL,
              at(plan.token ? TOKEN_WINDOW : 0),
              at(TARGET),
              STRETCH[i],
              true,
              Duration.ZERO);
    }
    perSecond = plan.load * capacity / objects();
    double all = Arrays.stream(size).sum();
    for (int i = 0; i < plan.edges.length; i++) {
      edges.add(
          new SimulatedCache(100 + i, Cache.Tier.EDGE, i % 2, plan.edges[i], EDGE_HOLDS * all));
    }
    new SimulatedCache(200, Cache.Tier.PARENT, -1, capacity, PARENT_HOLDS * all);
    new SimulatedCache(201, Cache.Tier.PARENT, -1, capacity, PARENT_HOLDS * all);
    new SimulatedCache(300, Cache.Tier.ORIGIN, -1, capacity, 0);
    gateways = new RoutingPolicy[plan.gateways];
    clients = new double[plan.gateways];
    for (int i = 0; i < plan.gateways; i++) {
      gateways[i] = new RatioTestPolicy(settings());
      clients[i] =
          (i > 0 ? clients[i - 1] : 0)
              + (plan.uneven ? Math.exp(1.2 * clientRandom.nextGaussian()) : 1);
    }
    publishEndpoints();
    fillCaches();
  }

  static Duration at(double seconds) {
    return Seconds.toDuration(seconds);
  }

  private PolicySettings settings() {
    PolicySettings.WeightMeaning weights =
        switch (plan.advertisedWeights) {
          case TRUE -> PolicySettings.WeightMeaning.NOMINAL;
          case OFF -> PolicySettings.WeightMeaning.OFF;
          case TENFOLD, TENTH -> PolicySettings.WeightMeaning.ROUGH;
          case LIVE -> PolicySettings.WeightMeaning.LIVE;
        };
    PolicySettings.ColdStart cold =
        new PolicySettings.ColdStart(COLD_FROM, at(WARM_AFTER), COLD_MULTIPLE, at(COLD_WINDOW));
    return new PolicySettings(
        random.nextLong(),
        0,
        plan.gateways,
        plan.gateways,
        List.of(0),
        PACE,
        plan.link ? inlet * PACE : 0,
        plan.direct,
        true,
        plan.reportedDetails == SimulationPlan.ReportedDetails.ALL,
        plan.secondCopies,
        true,
        at(0.5),
        8,
        cold,
        cold,
        at(6),
        weights);
  }

  /**
   * Draws the sizes of all objects, even ones of the larger class; gives the mean work of a
   * request.
   */
  private double objects() {
    double sum = 0, work = 0, square = 0;
    for (int i = 0; i < upTo.length; i++) {
      double drawn = Math.exp(SIGMA * new Random(i * 31L + 7).nextGaussian() - SIGMA * SIGMA / 2);
      size[i] = MEAN[i % 2] * Math.min(LARGEST, drawn);
      double share = Math.pow(i / 2 + 1, -ZIPF);
      sum += share;
      upTo[i] = sum;
      work += share * size[i];
      square += share * size[i] * size[i];
    }
    meanWork = work / sum;
    meanSquare = square / sum;
    return meanWork;
  }

  /**
   * The caches as they would be after a long time: the most popular objects at their homes and
   * parents.
   */
  private void fillCaches() {
    for (int i = upTo.length - 1; i >= 0; i--) {
      simulatedCaches.get(gateways[0].rankedCaches(i).get(0)).keep(i, size[i]);
      for (Cache cache : caches.subList(edges.size(), caches.size())) {
        simulatedCaches.get(cache).keep(i, size[i]);
      }
    }
  }

  /** Tells all gateways the list, with the weights as the plan would have them. */
  private void publishEndpoints() {
    for (SimulatedCache machine : simulatedCaches.values()) {
      machine.cache.weight =
          switch (plan.advertisedWeights) {
            case TRUE -> machine.capacity;
            case OFF -> 1;
            case TENFOLD -> 10 * machine.capacity;
            case TENTH -> 0.1 * machine.capacity;
            case LIVE -> machine.capacity / (1 + machine.inHand / 4.0);
          };
    }
    for (RoutingPolicy gateway : gateways) {
      gateway.onEndpoints(caches, at(now));
    }
  }

  private void republishEndpoints() {
    List<Cache> before = homes();
    publishEndpoints();
    List<Cache> after = homes();
    long moved =
        IntStream.range(0, before.size()).filter(i -> before.get(i) != after.get(i)).count();
    homesMoved = Math.max(homesMoved, (double) moved / before.size());
  }

  private List<Cache> homes() {
    return LongStream.range(0, 500)
        .mapToObj(object -> gateways[0].rankedCaches(object).get(0))
        .toList();
  }

  /** An edge's process starts anew, empty and cold, on a machine of this capacity. */
  void startAnew(int edge, double capacity) {
    SimulatedCache machine = edges.get(edge);
    machine.capacity = capacity;
    machine.cache.startedAt = at(now);
    machine.objects.clear();
    machine.held = 0;
    machine.reached.clear();
    machine.reachedWork = 0;
    publishEndpoints();
    List.copyOf(transfers).stream()
        .filter(transfer -> transfer.at == machine)
        .forEach(transfer -> end(transfer, Result.CONNECTION_LOST, Detail.UNKNOWN));
    List.copyOf(transfers).stream()
        .filter(transfer -> transfer.fate.from == machine)
        .forEach(transfer -> end(transfer, Result.FAILED, Detail.SOURCE_FAILED));
  }

  /**
   * A gateway's successor takes its clients and knows nothing; what is in hand ends with the former
   * one.
   */
  void restartGateway(int gateway) {
    gateways[gateway] = new RatioTestPolicy(settings());
    gateways[gateway].onEndpoints(caches, at(now));
  }

  private List<SimulatedRequest> asked(double from, double to, Predicate<SimulatedRequest> of) {
    return requests.stream().filter(of.and(r -> r.arrived() >= from && r.arrived() < to)).toList();
  }

  /** The value served in target, as a share of what was asked for from one time to another. */
  double served(double from, double to, Predicate<SimulatedRequest> of) {
    List<SimulatedRequest> asked = asked(from, to, of);
    return asked.stream()
            .filter(r -> ends.get(r) == Ending.SERVED)
            .mapToDouble(SimulatedRequest::value)
            .sum()
        / asked.stream().mapToDouble(SimulatedRequest::value).sum();
  }

  double served(double from, double to) {
    return served(from, to, simulated -> true);
  }

  /** Requests that never ended. */
  int open() {
    return requests.size() - ends.size();
  }

  /** The share of requests that arrived from one time to another and ended so. */
  double share(Ending end, double from, double to) {
    return (double) asked(from, to, r -> ends.get(r) == end).size()
        / asked(from, to, r -> true).size();
  }

  void run() {
    TreeMap<Double, Consumer<CapacitySimulation>> events = new TreeMap<>(plan.events);
    double next = 0, toldAt = 0, end = plan.seconds + DEADLINE[0] + 1;
    for (; now < end; now = ++steps * STEP) {
      while (!events.isEmpty() && events.firstKey() <= now) {
        events.pollFirstEntry().getValue().accept(this);
      }
      if (plan.advertisedWeights == SimulationPlan.AdvertisedWeights.LIVE && now >= toldAt + 1) {
        toldAt = now;
        republishEndpoints();
      }
      for (;
          next < Math.min(now, plan.seconds);
          next -= Math.log(1 - clientRandom.nextDouble()) / perSecond) {
        arrive();
      }
      step();
      while (!timers.isEmpty() && timers.peek().at() <= now) {
        ask(timers.remove());
      }
    }
  }

  private static int drawn(double[] upTo, double luck) {
    int found = Arrays.binarySearch(upTo, luck * upTo[upTo.length - 1]);
    return found < 0 ? -found - 1 : found;
  }

  private void arrive() {
    int object = drawn(upTo, clientRandom.nextDouble());
    RoutingPolicy gateway = gateways[drawn(clients, clientRandom.nextDouble())];
    int kind = object % 2;
    Request request =
        new Request(
            requestClasses[kind],
            object,
            0,
            1,
            plan.sizes ? PACE * size[object] : 0,
            at(now),
            at(now + DEADLINE[kind]));
    SimulatedRequest simulated =
        new SimulatedRequest(
            request, gateway, size[object], VALUE[kind], gateway.rankedCaches(object).get(0));
    requests.add(simulated);
    follow(simulated, gateway.route(request, at(now)));
  }

  private void ask(Timer alarm) {
    if (!ends.containsKey(alarm.simulated())
        && (alarm.attempt() == null || alarm.attempt().outcome == null)) {
      follow(
          alarm.simulated(), alarm.simulated().gateway.route(alarm.simulated().request, at(now)));
    }
  }

  private void follow(SimulatedRequest simulated, Decision decision) {
    if (decision instanceof Attempt attempt) {
      send(simulated, attempt);
    } else if (decision instanceof Decision.Cancel recall) {
      transfers.stream()
          .filter(transfer -> transfer.attempt == recall.attempt())
          .findFirst()
          .ifPresent(transfer -> end(transfer, Result.CANCELLED, Detail.UNKNOWN));
    } else if (decision instanceof Decision.Wait) {
      await(simulated);
    } else {
      ends.putIfAbsent(
          simulated, simulated.request.attempts.isEmpty() ? Ending.REJECTED : Ending.GIVEN_UP);
    }
  }

  /** Where nothing is out, the gateway has to ask again by itself, or the client waits in vain. */
  private void await(SimulatedRequest simulated) {
    if (ends.containsKey(simulated)
        || simulated.request.attempts.stream().anyMatch(attempt -> attempt.outcome == null)) {
      return;
    }
    Duration delay = simulated.gateway.nextDecisionDelay(simulated.request, at(now));
    if (delay == null) {
      abandoned++;
      ends.putIfAbsent(simulated, Ending.GIVEN_UP);
    } else {
      timers.add(new Timer(now + Math.max(STEP, Seconds.seconds(delay)), simulated, null));
    }
  }

  private void send(SimulatedRequest simulated, Attempt attempt) {
    countCells(simulated, attempt);
    attempt.sentAt = at(now);
    simulated.request.attempts.add(attempt);
    if (attempt.expectedBy != null) {
      timers.add(new Timer(Seconds.seconds(attempt.expectedBy), simulated, attempt));
    }
    SimulatedCache at = simulatedCaches.get(attempt.cache);
    Transfer transfer =
        new Transfer(
            simulated,
            attempt,
            at,
            fate(simulated, attempt, at, simulatedCaches.get(attempt.source)));
    transfer.at.inHand++;
    reach(transfer.at, simulated.work);
    if (transfer.fills()) {
      transfer.fate.from.inHand++;
      reach(transfer.fate.from, simulated.work);
    }
    transfers.add(transfer);
  }

  private void countCells(SimulatedRequest simulated, Attempt attempt) {
    for (Attempt before : simulated.request.attempts) {
      if (before.outcome == null || !before.outcome.result().provesNotExecuted) {
        cellsKept += before.cache.cell == attempt.cache.cell ? 1 : 0;
        cellsLeft += before.cache.cell == attempt.cache.cell ? 0 : 1;
      }
    }
  }

  /** What an attempt will come to, as far as its caches hold the object now. */
  private AttemptResult fate(
      SimulatedRequest simulated, Attempt attempt, SimulatedCache at, SimulatedCache source) {
    boolean edge = at.cache.tier == Cache.Tier.EDGE;
    if (edge && plan.failing > 0 && random.nextDouble() < plan.failing) {
      return new AttemptResult(at, Result.FAILED, Detail.UNKNOWN, HIT_WAIT);
    }
    if (at.holds(simulated)) {
      return new AttemptResult(at, Result.SERVED, Detail.HIT, HIT_WAIT);
    }
    if (source == at && at.cache.tier != Cache.Tier.ORIGIN) {
      return new AttemptResult(at, Result.MISS, Detail.UNKNOWN, HIT_WAIT);
    }
    double wait =
        switch (source.cache.tier) {
          case EDGE -> SIBLING_WAIT;
          case PARENT -> PARENT_WAIT;
          case ORIGIN -> 0;
        };
    if (source.holds(simulated)) {
      return new AttemptResult(source, Result.SERVED, Detail.FILLED, wait);
    }
    return attempt.onlyIfCached
        ? new AttemptResult(source, Result.MISS, Detail.SOURCE_MISS, wait)
        : originFails
            ? new AttemptResult(source, Result.FAILED, Detail.ORIGIN_FAILED, wait + ORIGIN_WAIT)
            : new AttemptResult(source, Result.SERVED, Detail.FROM_ORIGIN, wait + ORIGIN_WAIT);
  }

  /**
   * Counts work against the cold rule: no window may have more than the multiple of what the edge
   * bears in it.
   */
  private void reach(SimulatedCache machine, double work) {
    if (machine.cache.tier != Cache.Tier.EDGE || !machine.cold()) {
      return;
    }
    double up = Seconds.seconds(machine.cache.startedAt), since = Math.max(up, now - COLD_WINDOW);
    machine.reached.add(new double[] {now, work});
    machine.reachedWork += work;
    while (machine.reached.peek()[0] < since) {
      machine.reachedWork -= machine.reached.remove()[1];
    }
    double most =
        COLD_MULTIPLE * machine.capacity * machine.warmth((since + now) / 2) * COLD_WINDOW;
    double chance = 2 * Math.sqrt(most * meanSquare / meanWork) + 2 * meanWork;
    coldMost = Math.max(coldMost, machine.reachedWork / most);
    coldMostOfChance = Math.max(coldMostOfChance, machine.reachedWork / (most + chance));
  }

  private void step() {
    for (SimulatedCache machine : simulatedCaches.values()) {
      machine.inHandBefore[steps % machine.inHandBefore.length] = machine.inHand;
      machine.sending = 0;
    }
    int comingIn = 0;
    for (Transfer transfer : transfers) {
      if (transfer.wait <= 0) {
        transfer.at.sending++;
        transfer.fate.from.sending += transfer.fills() ? 1 : 0;
        comingIn += transfer.comesIn() ? 1 : 0;
      }
    }
    double inletPace = Math.min(1, inlet / Math.max(1, comingIn));
    List<Transfer> over = new ArrayList<>();
    for (Transfer transfer : transfers) {
      move(transfer, transfer.comesIn() ? inletPace : 1);
      if (transfer.done() || now >= Seconds.seconds(transfer.simulated.request.deadline)) {
        over.add(transfer);
      }
    }
    for (Transfer transfer : over) {
      boolean done = transfer.done();
      end(
          transfer,
          done ? transfer.fate.result : Result.TIMED_OUT,
          done ? transfer.fate.detail : Detail.UNKNOWN);
    }
  }

  private void move(Transfer transfer, double mostPace) {
    SimulatedCache at = transfer.at, from = transfer.fate.from;
    if (transfer.wait > 0) {
      transfer.wait -= at.hung || from.hung ? 0 : STEP;
    } else {
      transfer.work -= STEP * Math.min(mostPace, Math.min(at.pace(), from.pace()));
    }
  }

  private void end(Transfer transfer, Result result, Detail detail) {
    if (!transfers.remove(transfer)) {
      return;
    }
    SimulatedRequest simulated = transfer.simulated;
    SimulatedCache at = transfer.at, from = transfer.fate.from;
    at.inHand--;
    from.inHand -= transfer.fills() ? 1 : 0;
    boolean good = result == Result.SERVED;
    if (good) {
      double target = TARGET + simulated.request.requestClass.transferTimeFactor() * simulated.work;
      ends.putIfAbsent(
          simulated, now <= simulated.arrived() + target ? Ending.SERVED : Ending.LATE);
      at.keep(simulated.request.objectId, simulated.work);
      from.keep(simulated.request.objectId, simulated.work);
    }
    boolean all = plan.reportedDetails == SimulationPlan.ReportedDetails.ALL,
        told = all || plan.reportedDetails == SimulationPlan.ReportedDetails.HIT && good;
    transfer.attempt.outcome =
        new Outcome(
            result,
            told ? detail : Detail.UNKNOWN,
            at(now).minus(transfer.attempt.sentAt),
            all && good && transfer.fills() ? at(transfer.fate.delay) : null,
            ends.containsKey(simulated));
    if (plan.reports && (good || result == Result.MISS || result == Result.FAILED)) {
      double inHand = at.inHandBefore[(steps + 1) % at.inHandBefore.length];
      simulated.gateway.onLoadReport(at.cache, new LoadReport(Double.NaN, inHand), at(now));
    }
    follow(simulated, simulated.gateway.onOutcome(simulated.request, transfer.attempt, at(now)));
  }
}
