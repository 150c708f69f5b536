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
final class CapacityWorld {

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
  enum End {
    SERVED,
    LATE,
    GIVEN_UP,
    REJECTED
  }

  /** A client's request at its gateway, and the first of its caches at its arrival. */
  record Request(View view, Decisions gateway, double work, double value, Cache home) {

    double arrived() {
      return Seconds.seconds(view.arrived);
    }
  }

  /**
   * A cache as it truly is; at a start it bears a part of its capacity that rises in a straight
   * line.
   */
  final class Machine {
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

    Machine(long mark, Cache.Tier tier, int cell, double capacity, double bytes) {
      this.cache = new Cache(mark);
      this.capacity = capacity;
      this.bytes = bytes;
      cache.tier = tier;
      cache.cell = cell;
      machines.put(cache, this);
      list.add(cache);
    }

    boolean cold() {
      return cache.upSince != null && now < Seconds.seconds(cache.upSince) + WARM_AFTER;
    }

    double warmth(double at) {
      return cold()
          ? COLD_FROM + (1 - COLD_FROM) * (at - Seconds.seconds(cache.upSince)) / WARM_AFTER
          : 1;
    }

    double pace() {
      return hung ? 0 : speed * Math.min(1, capacity * warmth(now) / Math.max(1, sending));
    }

    boolean holds(Request request) {
      return objects.get(request.view.object) != null;
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
  private record Fate(Machine from, Result result, Detail detail, double delay) {}

  /** An attempt under way. */
  private static final class Transfer {
    final Request request;
    final Trip trip;
    final Machine at;
    final Fate fate;
    double wait, work;

    Transfer(Request request, Trip trip, Machine at, Fate fate) {
      this.request = request;
      this.trip = trip;
      this.at = at;
      this.fate = fate;
      this.wait = fate.delay;
      this.work = fate.result == Result.HONOURED ? request.work : 0;
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
  private record Alarm(double at, Request request, Trip trip) {}

  private final List<Request> requests = new ArrayList<>();
  private final Map<Request, End> ends = new IdentityHashMap<>();
  final List<Machine> edges = new ArrayList<>();
  private final Decisions[] gateways;

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
  int held;

  /** The greatest share of objects whose home moved from one list to the next. */
  double homesMoved;

  private final CapacityPlan plan;

  /**
   * Chance of the clients alone, so that plays of one seed have the same requests; and all other
   * chance.
   */
  private final Random dice, luck;

  private final Map<Cache, Machine> machines = new IdentityHashMap<>();
  private final List<Cache> list = new ArrayList<>();
  private final List<Transfer> transfers = new ArrayList<>();
  private final PriorityQueue<Alarm> alarms =
      new PriorityQueue<>(Comparator.comparingDouble(Alarm::at));
  private final Profile[] profiles = new Profile[2];
  private final double[] clients, upTo = new double[OBJECTS], size = new double[OBJECTS];
  private final double inlet, perSecond;
  private double now, meanWork, meanSquare;
  private int steps;

  CapacityWorld(CapacityPlan plan) {
    this.plan = plan;
    dice = new Random(plan.seed);
    luck = new Random(plan.seed + 1000);
    double capacity = Arrays.stream(plan.edges).sum();
    inlet = INLET * capacity;
    for (int i = 0; i < 2; i++) {
      profiles[i] =
          new Profile(
              plan.token ? Profile.Repeat.NUMBERED : Profile.Repeat.REISSUABLE,
              plan.token ? Profile.Group.CELL : Profile.Group.ALL,
              at(plan.token ? TOKEN_WINDOW : 0),
              at(TARGET),
              STRETCH[i],
              true,
              Duration.ZERO);
    }
    perSecond = plan.load * capacity / objects();
    double all = Arrays.stream(size).sum();
    for (int i = 0; i < plan.edges.length; i++) {
      edges.add(new Machine(100 + i, Cache.Tier.EDGE, i % 2, plan.edges[i], EDGE_HOLDS * all));
    }
    new Machine(200, Cache.Tier.PARENT, -1, capacity, PARENT_HOLDS * all);
    new Machine(201, Cache.Tier.PARENT, -1, capacity, PARENT_HOLDS * all);
    new Machine(300, Cache.Tier.ORIGIN, -1, capacity, 0);
    gateways = new Decisions[plan.gateways];
    clients = new double[plan.gateways];
    for (int i = 0; i < plan.gateways; i++) {
      gateways[i] = new Brain(settings());
      clients[i] =
          (i > 0 ? clients[i - 1] : 0) + (plan.uneven ? Math.exp(1.2 * dice.nextGaussian()) : 1);
    }
    tell();
    fillCaches();
  }

  static Duration at(double seconds) {
    return Seconds.span(seconds);
  }

  private Settings settings() {
    Settings.Weights weights =
        switch (plan.told) {
          case TRUE -> Settings.Weights.NOMINAL;
          case OFF -> Settings.Weights.OFF;
          case TENFOLD, TENTH -> Settings.Weights.ROUGH;
          case LIVE -> Settings.Weights.LIVE;
        };
    Settings.ColdStart cold =
        new Settings.ColdStart(COLD_FROM, at(WARM_AFTER), COLD_MULTIPLE, at(COLD_WINDOW));
    return new Settings(
        luck.nextLong(),
        0,
        plan.gateways,
        plan.gateways,
        List.of(0),
        PACE,
        plan.link ? inlet * PACE : 0,
        plan.direct,
        true,
        plan.says == CapacityPlan.Says.ALL,
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
      machines.get(gateways[0].homes(i).get(0)).keep(i, size[i]);
      for (Cache cache : list.subList(edges.size(), list.size())) {
        machines.get(cache).keep(i, size[i]);
      }
    }
  }

  /** Tells all gateways the list, with the weights as the plan would have them. */
  private void tell() {
    for (Machine machine : machines.values()) {
      machine.cache.weight =
          switch (plan.told) {
            case TRUE -> machine.capacity;
            case OFF -> 1;
            case TENFOLD -> 10 * machine.capacity;
            case TENTH -> 0.1 * machine.capacity;
            case LIVE -> machine.capacity / (1 + machine.inHand / 4.0);
          };
    }
    for (Decisions gateway : gateways) {
      gateway.listed(list, at(now));
    }
  }

  private void tellAgain() {
    List<Cache> before = homes();
    tell();
    List<Cache> after = homes();
    long moved =
        IntStream.range(0, before.size()).filter(i -> before.get(i) != after.get(i)).count();
    homesMoved = Math.max(homesMoved, (double) moved / before.size());
  }

  private List<Cache> homes() {
    return LongStream.range(0, 500).mapToObj(object -> gateways[0].homes(object).get(0)).toList();
  }

  /** An edge's process starts anew, empty and cold, on a machine of this capacity. */
  void startAnew(int edge, double capacity) {
    Machine machine = edges.get(edge);
    machine.capacity = capacity;
    machine.cache.upSince = at(now);
    machine.objects.clear();
    machine.held = 0;
    machine.reached.clear();
    machine.reachedWork = 0;
    tell();
    List.copyOf(transfers).stream()
        .filter(transfer -> transfer.at == machine)
        .forEach(transfer -> end(transfer, Result.BROKEN, Detail.UNTOLD));
    List.copyOf(transfers).stream()
        .filter(transfer -> transfer.fate.from == machine)
        .forEach(transfer -> end(transfer, Result.ERRED, Detail.SOURCE_FAILED));
  }

  /**
   * A gateway's successor takes its clients and knows nothing; what is in hand ends with the former
   * one.
   */
  void restartGateway(int gateway) {
    gateways[gateway] = new Brain(settings());
    gateways[gateway].listed(list, at(now));
  }

  private List<Request> asked(double from, double to, Predicate<Request> of) {
    return requests.stream().filter(of.and(r -> r.arrived() >= from && r.arrived() < to)).toList();
  }

  /** The value served in target, as a share of what was asked for from one time to another. */
  double served(double from, double to, Predicate<Request> of) {
    List<Request> asked = asked(from, to, of);
    return asked.stream().filter(r -> ends.get(r) == End.SERVED).mapToDouble(Request::value).sum()
        / asked.stream().mapToDouble(Request::value).sum();
  }

  double served(double from, double to) {
    return served(from, to, request -> true);
  }

  /** Requests that never ended. */
  int open() {
    return requests.size() - ends.size();
  }

  /** The share of requests that arrived from one time to another and ended so. */
  double share(End end, double from, double to) {
    return (double) asked(from, to, r -> ends.get(r) == end).size()
        / asked(from, to, r -> true).size();
  }

  void play() {
    TreeMap<Double, Consumer<CapacityWorld>> events = new TreeMap<>(plan.events);
    double next = 0, toldAt = 0, end = plan.seconds + DEADLINE[0] + 1;
    for (; now < end; now = ++steps * STEP) {
      while (!events.isEmpty() && events.firstKey() <= now) {
        events.pollFirstEntry().getValue().accept(this);
      }
      if (plan.told == CapacityPlan.Told.LIVE && now >= toldAt + 1) {
        toldAt = now;
        tellAgain();
      }
      for (;
          next < Math.min(now, plan.seconds);
          next -= Math.log(1 - dice.nextDouble()) / perSecond) {
        arrive();
      }
      step();
      while (!alarms.isEmpty() && alarms.peek().at() <= now) {
        ask(alarms.remove());
      }
    }
  }

  private static int drawn(double[] upTo, double luck) {
    int found = Arrays.binarySearch(upTo, luck * upTo[upTo.length - 1]);
    return found < 0 ? -found - 1 : found;
  }

  private void arrive() {
    int object = drawn(upTo, dice.nextDouble());
    Decisions gateway = gateways[drawn(clients, dice.nextDouble())];
    int kind = object % 2;
    View view =
        new View(
            profiles[kind],
            object,
            0,
            1,
            plan.sizes ? PACE * size[object] : 0,
            at(now),
            at(now + DEADLINE[kind]));
    Request request =
        new Request(view, gateway, size[object], VALUE[kind], gateway.homes(object).get(0));
    requests.add(request);
    follow(request, gateway.place(view, at(now)));
  }

  private void ask(Alarm alarm) {
    if (!ends.containsKey(alarm.request())
        && (alarm.trip() == null || alarm.trip().outcome == null)) {
      follow(alarm.request(), alarm.request().gateway.place(alarm.request().view, at(now)));
    }
  }

  private void follow(Request request, Answer answer) {
    if (answer instanceof Trip trip) {
      send(request, trip);
    } else if (answer instanceof Answer.Recall recall) {
      transfers.stream()
          .filter(transfer -> transfer.trip == recall.trip())
          .findFirst()
          .ifPresent(transfer -> end(transfer, Result.RECALLED, Detail.UNTOLD));
    } else if (answer instanceof Answer.NotYet) {
      await(request);
    } else {
      ends.putIfAbsent(request, request.view.trips.isEmpty() ? End.REJECTED : End.GIVEN_UP);
    }
  }

  /** Where nothing is out, the gateway has to ask again by itself, or the client waits in vain. */
  private void await(Request request) {
    if (ends.containsKey(request)
        || request.view.trips.stream().anyMatch(trip -> trip.outcome == null)) {
      return;
    }
    Duration patience = request.gateway.patience(request.view, at(now));
    if (patience == null) {
      held++;
      ends.putIfAbsent(request, End.GIVEN_UP);
    } else {
      alarms.add(new Alarm(now + Math.max(STEP, Seconds.seconds(patience)), request, null));
    }
  }

  private void send(Request request, Trip trip) {
    countCells(request, trip);
    trip.sent = at(now);
    request.view.trips.add(trip);
    if (trip.due != null) {
      alarms.add(new Alarm(Seconds.seconds(trip.due), request, trip));
    }
    Machine at = machines.get(trip.cache);
    Transfer transfer =
        new Transfer(request, trip, at, fate(request, trip, at, machines.get(trip.source)));
    transfer.at.inHand++;
    reach(transfer.at, request.work);
    if (transfer.fills()) {
      transfer.fate.from.inHand++;
      reach(transfer.fate.from, request.work);
    }
    transfers.add(transfer);
  }

  private void countCells(Request request, Trip trip) {
    for (Trip before : request.view.trips) {
      if (before.outcome == null || !before.outcome.result().provesNotRun) {
        cellsKept += before.cache.cell == trip.cache.cell ? 1 : 0;
        cellsLeft += before.cache.cell == trip.cache.cell ? 0 : 1;
      }
    }
  }

  /** What an attempt will come to, as far as its caches hold the object now. */
  private Fate fate(Request request, Trip trip, Machine at, Machine source) {
    boolean edge = at.cache.tier == Cache.Tier.EDGE;
    if (edge && plan.failing > 0 && luck.nextDouble() < plan.failing) {
      return new Fate(at, Result.ERRED, Detail.UNTOLD, HIT_WAIT);
    }
    if (at.holds(request)) {
      return new Fate(at, Result.HONOURED, Detail.HIT, HIT_WAIT);
    }
    if (source == at && at.cache.tier != Cache.Tier.ORIGIN) {
      return new Fate(at, Result.MISSED, Detail.UNTOLD, HIT_WAIT);
    }
    double wait =
        switch (source.cache.tier) {
          case EDGE -> SIBLING_WAIT;
          case PARENT -> PARENT_WAIT;
          case ORIGIN -> 0;
        };
    if (source.holds(request)) {
      return new Fate(source, Result.HONOURED, Detail.FILLED, wait);
    }
    return trip.onlyHeld
        ? new Fate(source, Result.MISSED, Detail.SOURCE_LACKS, wait)
        : originFails
            ? new Fate(source, Result.ERRED, Detail.ORIGIN_FAILED, wait + ORIGIN_WAIT)
            : new Fate(source, Result.HONOURED, Detail.FROM_ORIGIN, wait + ORIGIN_WAIT);
  }

  /**
   * Counts work against the cold rule: no window may have more than the multiple of what the edge
   * bears in it.
   */
  private void reach(Machine machine, double work) {
    if (machine.cache.tier != Cache.Tier.EDGE || !machine.cold()) {
      return;
    }
    double up = Seconds.seconds(machine.cache.upSince), since = Math.max(up, now - COLD_WINDOW);
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
    for (Machine machine : machines.values()) {
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
      if (transfer.done() || now >= Seconds.seconds(transfer.request.view.cutOff)) {
        over.add(transfer);
      }
    }
    for (Transfer transfer : over) {
      boolean done = transfer.done();
      end(
          transfer,
          done ? transfer.fate.result : Result.TIMED_OUT,
          done ? transfer.fate.detail : Detail.UNTOLD);
    }
  }

  private void move(Transfer transfer, double mostPace) {
    Machine at = transfer.at, from = transfer.fate.from;
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
    Request request = transfer.request;
    Machine at = transfer.at, from = transfer.fate.from;
    at.inHand--;
    from.inHand -= transfer.fills() ? 1 : 0;
    boolean good = result == Result.HONOURED;
    if (good) {
      double target = TARGET + request.view.profile.stretch() * request.work;
      ends.putIfAbsent(request, now <= request.arrived() + target ? End.SERVED : End.LATE);
      at.keep(request.view.object, request.work);
      from.keep(request.view.object, request.work);
    }
    boolean all = plan.says == CapacityPlan.Says.ALL,
        told = all || plan.says == CapacityPlan.Says.HIT && good;
    transfer.trip.outcome =
        new Outcome(
            result,
            told ? detail : Detail.UNTOLD,
            at(now).minus(transfer.trip.sent),
            all && good && transfer.fills() ? at(transfer.fate.delay) : null,
            ends.containsKey(request));
    if (plan.reports && (good || result == Result.MISSED || result == Result.ERRED)) {
      double inHand = at.inHandBefore[(steps + 1) % at.inHandBefore.length];
      request.gateway.loaded(at.cache, new Load(Double.NaN, inHand), at(now));
    }
    follow(request, request.gateway.after(request.view, transfer.trip, at(now)));
  }
}
