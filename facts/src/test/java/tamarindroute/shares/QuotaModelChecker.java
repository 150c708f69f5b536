package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Explores all that can happen to some gateways that share a bound, one of them its dealer: each
 * may ask at any time, each word may come at once, late, twice, out of order or never (so that any
 * way may be cut at any time), each may be stopped and go on, be killed and start anew, each may
 * lead once nobody else does. Time goes in ticks; times are kept relative to now and numbers by
 * their order alone, so that equal futures are explored once. After every single event what the
 * living may use is summed up; a stopped one lives.
 */
final class QuotaModelChecker {

  /** The machine under test; a seeded defect overrides what it breaks. */
  interface SystemUnderTest {
    default QuotaAllocator leads(QuotaAllocator allocator, long term, Duration until) {
      return allocator.onLeadership(term, until, NOW);
    }

    default LeaseHolder granted(LeaseHolder holder, LeaseMessage.Grant grant) {
      return holder.onGrant(grant);
    }

    default QuotaAllocator refused(QuotaAllocator allocator, Address address, Duration sent) {
      return allocator.onConnectionRefused(address, sent);
    }

    default QuotaAllocator ticked(QuotaAllocator allocator) {
      return allocator;
    }

    default LeaseHolder started(Member self, SharedQuota quota) {
      return LeaseHolder.startedAt(self, quota, NOW);
    }
  }

  static final SystemUnderTest SOUND = new SystemUnderTest() {};
  static final Duration TICK = Duration.ofMillis(100);

  /** Times in states are told as if now were this, which is later than any span. */
  static final Duration NOW = Duration.ofHours(1);

  /** For how many ticks the lead is held: one that was stopped for two finds it going on. */
  private static final int LEADERSHIP_TICKS = 3;

  /**
   * What may go wrong: stops, kills, changes of the leader, words that come twice; words on the
   * way, the longest way.
   */
  record Budget(int stops, int kills, int leaders, int doubled, int flying, int way) {}

  /**
   * The places of those that may ask, give back, be stopped, die and lead; fewer make worlds that
   * can be explored to the end.
   */
  record Actors(String asks, String gives, String stops, String dies, String leads) {}

  record Exploration(int states, long maxUsed) {}

  /**
   * A word on its way, or a refusal that was asked for at that time, to the one with that place.
   */
  private record Message(int to, LeaseMessage payload, int refusingPlace, Duration sent, int age) {}

  private record Node(
      LeaseHolder holder, QuotaAllocator allocator, boolean stopped, boolean dead) {}

  private record State(
      List<Node> nodes,
      List<Message> inFlight,
      int leader,
      long term,
      Duration until,
      Budget budget) {}

  private final SystemUnderTest system;
  private final SharedQuota quota;
  private final Actors actors;
  private final int size;
  private final QuotaAllocator fresh;

  QuotaModelChecker(SystemUnderTest system, SharedQuota quota, Actors actors) {
    this.system = system;
    this.quota = quota;
    this.actors = actors;
    this.size = quota.gateways();
    Set<Address> told = new HashSet<>();
    for (int i = 0; i < size; i++) {
      told.add(address(i));
    }
    this.fresh = QuotaAllocator.initial(quota, told);
  }

  static Address address(int place) {
    return new Address("g", place + 1);
  }

  /** Stops once more than the bound is in use, for the defect is found, or at so many states. */
  Exploration explore(Budget budget, int mostStates) {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      // The first lives are past their quiet time already.
      nodes.add(
          new Node(
              LeaseHolder.startedAt(
                  new Member(address(i), 1), quota, NOW.minus(quota.quietPeriod())),
              fresh,
              false,
              false));
    }
    State first = canonical(new State(nodes, List.of(), -1, 0, NOW, budget));
    Set<State> seen = new HashSet<>(Set.of(first));
    ArrayDeque<State> open = new ArrayDeque<>(seen);
    long most = 0;
    while (!open.isEmpty()) {
      State state = open.poll();
      most = Math.max(most, used(state));
      if (most > quota.limit()) {
        return new Exploration(seen.size(), most);
      }
      if (seen.size() > mostStates) {
        throw new IllegalStateException("not explored to the end within " + mostStates);
      }
      for (State next : nexts(state)) {
        State same = canonical(next);
        if (seen.add(same)) {
          open.add(same);
        }
      }
    }
    return new Exploration(seen.size(), most);
  }

  private static long used(State state) {
    return state.nodes.stream()
        .filter(node -> !node.dead)
        .mapToLong(node -> node.holder.usableShare(NOW).share())
        .sum();
  }

  private List<State> nexts(State state) {
    List<State> nexts = new ArrayList<>(List.of(tick(state)));
    for (int i = 0; i < size; i++) {
      Node node = state.nodes.get(i);
      if (node.dead) {
        nexts.add(
            with(
                state,
                i,
                new Node(
                    system.started(
                        new Member(address(i), node.holder.self().incarnation() + 1), quota),
                    fresh,
                    false,
                    false),
                state.budget));
        continue;
      }
      faults(state, i, nexts);
      if (!node.stopped) {
        acts(state, i, nexts);
      }
    }
    for (Message message : state.inFlight) {
      deliveries(state, message, nexts);
    }
    return nexts;
  }

  private void faults(State state, int i, List<State> nexts) {
    Node node = state.nodes.get(i);
    Budget left = state.budget;
    if (node.stopped) {
      nexts.add(with(state, i, new Node(node.holder, node.allocator, false, false), left));
    } else if (left.stops > 0 && actors.stops.indexOf('0' + i) >= 0) {
      nexts.add(
          with(
              state,
              i,
              new Node(node.holder, node.allocator, true, false),
              new Budget(
                  left.stops - 1, left.kills, left.leaders, left.doubled, left.flying, left.way)));
    }
    if (left.kills > 0 && actors.dies.indexOf('0' + i) >= 0) {
      nexts.add(
          with(
              state,
              i,
              new Node(node.holder, node.allocator, false, true),
              new Budget(
                  left.stops, left.kills - 1, left.leaders, left.doubled, left.flying, left.way)));
    }
  }

  /** Asking, gaining and keeping the lead, finding that nobody listens where another was. */
  private void acts(State state, int i, List<State> nexts) {
    Node node = state.nodes.get(i);
    Budget left = state.budget;
    boolean mine = state.leader == i;
    if (state.leader >= 0 && state.inFlight.size() < left.flying) {
      if (actors.asks.indexOf('0' + i) >= 0 && !node.holder.requestTimes().containsValue(NOW)) {
        LeaseHolder.Step step = node.holder.request(NOW);
        nexts.add(
            flying(
                with(state, i, new Node(step.holder(), node.allocator, false, false), left),
                new Message(state.leader, step.message(), -1, NOW, 0)));
      }
      if (actors.gives.indexOf('0' + i) >= 0 && node.holder.lease() != null) {
        LeaseHolder.Step step = node.holder.release();
        nexts.add(
            flying(
                with(state, i, new Node(step.holder(), node.allocator, false, false), left),
                new Message(state.leader, step.message(), -1, NOW, 0)));
        if (left.kills > 0) {
          nexts.add(
              flying(
                  with(
                      state,
                      i,
                      new Node(node.holder, node.allocator, false, true),
                      new Budget(
                          left.stops,
                          left.kills - 1,
                          left.leaders,
                          left.doubled,
                          left.flying,
                          left.way)),
                  new Message(state.leader, node.holder.leave(), -1, NOW, 0)));
        }
      }
      for (int other = 0; mine && other < size; other++) {
        if (state.nodes.get(other).dead) {
          nexts.add(flying(state, new Message(i, null, other, NOW, 0)));
        }
      }
    }
    boolean free = NOW.compareTo(state.until) >= 0;
    if (mine && !free && left.leaders == 0) {
      return;
    }
    if (mine || free && left.leaders > 0 && actors.leads.indexOf('0' + i) >= 0) {
      long term = mine && !free ? state.term : state.term + 1;
      Budget less =
          new Budget(
              left.stops,
              left.kills,
              left.leaders - (mine ? 0 : 1),
              left.doubled,
              left.flying,
              left.way);
      Duration until = NOW.plus(TICK.multipliedBy(LEADERSHIP_TICKS));
      if (!mine || !free || left.leaders > 0) {
        State led =
            with(
                state,
                i,
                new Node(node.holder, system.leads(node.allocator, term, until), false, false),
                less);
        nexts.add(
            new State(
                led.nodes,
                led.inFlight,
                i,
                term,
                until,
                mine && free
                    ? new Budget(
                        left.stops,
                        left.kills,
                        left.leaders - 1,
                        left.doubled,
                        left.flying,
                        left.way)
                    : less));
      }
    }
  }

  private void deliveries(State state, Message message, List<State> nexts) {
    List<Message> rest = new ArrayList<>(state.inFlight);
    rest.remove(message);
    State without =
        new State(state.nodes, rest, state.leader, state.term, state.until, state.budget);
    Node to = state.nodes.get(message.to);
    if (to.dead || to.stopped) {
      // To others a word that never comes is one that grows too old.
      nexts.add(without);
      return;
    }
    Budget left = state.budget;
    nexts.add(heard(without, message));
    if (left.doubled > 0) {
      State again = heard(without, message);
      nexts.add(
          flying(
              new State(
                  again.nodes,
                  again.inFlight,
                  again.leader,
                  again.term,
                  again.until,
                  new Budget(
                      left.stops,
                      left.kills,
                      left.leaders,
                      left.doubled - 1,
                      left.flying,
                      left.way)),
              message));
    }
  }

  private State heard(State state, Message message) {
    int place = message.to;
    Node to = state.nodes.get(place);
    if (message.payload == null) {
      QuotaAllocator allocator =
          system.refused(to.allocator, address(message.refusingPlace), message.sent);
      return with(state, place, new Node(to.holder, allocator, false, false), state.budget);
    }
    if (message.payload instanceof LeaseMessage.Grant grant) {
      LeaseHolder holder = system.granted(to.holder, grant);
      return with(state, place, new Node(holder, to.allocator, false, false), state.budget);
    }
    QuotaAllocator.Step step = to.allocator.onMessage(message.payload, NOW);
    State next =
        with(state, place, new Node(to.holder, step.allocator(), false, false), state.budget);
    return step.grant() == null
        ? next
        : flying(
            next,
            new Message(step.grant().holder().address().port() - 1, step.grant(), -1, NOW, 0));
  }

  private static State flying(State state, Message message) {
    List<Message> flying = new ArrayList<>(state.inFlight);
    if (!flying.contains(message)) {
      flying.add(message);
    }
    return new State(state.nodes, flying, state.leader, state.term, state.until, state.budget);
  }

  private static State with(State state, int place, Node node, Budget left) {
    List<Node> nodes = new ArrayList<>(state.nodes);
    nodes.set(place, node);
    return new State(nodes, state.inFlight, state.leader, state.term, state.until, left);
  }

  private State tick(State state) {
    List<Node> nodes =
        state.nodes.stream()
            .map(
                node ->
                    new Node(
                        earlier(node.holder),
                        node.dead || node.stopped
                            ? earlier(node.allocator)
                            : system.ticked(earlier(node.allocator)),
                        node.stopped,
                        node.dead))
            .toList();
    Duration until = shift(state.until);
    if (state.budget.leaders == 0 && state.leader >= 0 && NOW.compareTo(state.until) < 0) {
      // Nothing can come of letting it end any more: whoever leads and runs keeps the lead.
      Node leads = nodes.get(state.leader);
      if (!leads.dead && !leads.stopped) {
        until = NOW.plus(TICK.multipliedBy(LEADERSHIP_TICKS));
        nodes = new ArrayList<>(nodes);
        nodes.set(
            state.leader,
            new Node(leads.holder, system.leads(leads.allocator, state.term, until), false, false));
      }
    }
    // What waits at a stopped process waits on, whatever its age.
    List<Message> flying =
        state.inFlight.stream()
            .filter(one -> one.age < state.budget.way || state.nodes.get(one.to).stopped)
            .map(
                one ->
                    new Message(
                        one.to,
                        one.payload,
                        one.refusingPlace,
                        shift(one.sent),
                        Math.min(state.budget.way, one.age + 1)))
            .toList();
    return new State(nodes, flying, state.leader, state.term, until, state.budget);
  }

  private static Duration shift(Duration time) {
    if (time == null || time.equals(Duration.ZERO)) {
      return time;
    }
    Duration shifted = time.minus(TICK);
    Duration earliest = NOW.minus(TICK.multipliedBy(4));
    return shifted.compareTo(earliest) > 0 ? shifted : earliest;
  }

  private static LeaseHolder earlier(LeaseHolder holder) {
    TreeMap<Long, Duration> requestTimes = new TreeMap<>();
    holder.requestTimes().forEach((number, at) -> requestTimes.put(number, shift(at)));
    LeaseHolder.Lease lease = holder.lease();
    return new LeaseHolder(
        holder.self(),
        holder.quota(),
        shift(holder.startedAt()),
        holder.lastRequestNumber(),
        requestTimes,
        lease == null
            ? null
            : new LeaseHolder.Lease(
                lease.requestNumber(), lease.share(), shift(lease.expiresAt())));
  }

  private QuotaAllocator earlier(QuotaAllocator allocator) {
    if (allocator == fresh) {
      return fresh;
    }
    return places(
        allocator,
        shift(allocator.allocatesFrom()),
        shift(allocator.leadsUntil()),
        place ->
            new LeaseSlot(
                place.incarnation(),
                shift(place.incarnationSeenAt()),
                place.ended(),
                shift(place.provenEmptyAt()),
                place.decommissioned(),
                shift(place.assumedEmptyUntil()),
                shift(place.lastRequestAt()),
                place.grants().stream()
                    .map(
                        one ->
                            new LeaseSlot.LeaseGrant(
                                one.requestNumber(),
                                one.share(),
                                shift(one.grantedAt()),
                                shift(one.expiresAt())))
                    .toList()));
  }

  static QuotaAllocator places(
      QuotaAllocator allocator, Duration from, Duration until, UnaryOperator<LeaseSlot> change) {
    Map<Address, LeaseSlot> slots = new HashMap<>();
    allocator.slots().forEach((address, place) -> slots.put(address, change.apply(place)));
    return new QuotaAllocator(allocator.quota(), allocator.term(), from, until, slots);
  }

  /**
   * The same with what can't matter any more left out, and each one's numbers by their order alone.
   */
  private State canonical(State state) {
    List<Map<Long, Long>> ranks = new ArrayList<>();
    List<Node> trimmed = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      trimmed.add(trimmed(state.nodes.get(i), i == state.leader));
    }
    for (int i = 0; i < size; i++) {
      ranks.add(ranks(trimmed, state.inFlight, i));
    }
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      nodes.add(ranked(trimmed.get(i), ranks.get(i), ranks));
    }
    List<Message> flying = new ArrayList<>();
    for (Message one : state.inFlight) {
      flying.add(
          one.payload == null
              ? one
              : new Message(one.to, ranked(one.payload, ranks), -1, NOW, one.age));
    }
    if (flying.size() > 1) {
      flying.sort(Comparator.comparing(Message::toString));
    }
    return new State(nodes, flying, state.leader, state.term, state.until, state.budget);
  }

  private Node trimmed(Node node, boolean leads) {
    LeaseHolder holder = node.holder;
    TreeMap<Long, Duration> requestTimes = new TreeMap<>(holder.requestTimes());
    // A grant that answers an older asking is over as it comes.
    requestTimes.values().removeIf(at -> at.plus(quota.leaseDuration()).compareTo(NOW) <= 0);
    LeaseHolder.Lease lease =
        holder.lease() == null || holder.lease().expiresAt().compareTo(NOW) <= 0
            ? null
            : holder.lease();
    QuotaAllocator allocator =
        node.dead || !leads
            ? fresh
            : places(
                node.allocator,
                node.allocator.allocatesFrom(),
                node.allocator.leadsUntil(),
                place ->
                    new LeaseSlot(
                        place.incarnation(),
                        place.incarnationSeenAt(),
                        place.ended(),
                        useless(place.provenEmptyAt()) ? null : place.provenEmptyAt(),
                        place.decommissioned(),
                        place.assumedEmptyUntil().compareTo(NOW) <= 0
                            ? Duration.ZERO
                            : place.assumedEmptyUntil(),
                        place.lastRequestAt().plus(quota.leaseDuration()).compareTo(NOW) <= 0
                            ? Duration.ZERO
                            : place.lastRequestAt(),
                        place.grants().stream()
                            .filter(one -> NOW.compareTo(one.expiresAt()) < 0)
                            .toList()));
    return new Node(
        new LeaseHolder(
            holder.self(),
            quota,
            holder.startedAt(),
            holder.lastRequestNumber(),
            node.dead ? new TreeMap<>() : requestTimes,
            node.dead ? null : lease),
        allocator,
        node.stopped,
        node.dead);
  }

  private boolean useless(Duration emptyAt) {
    return emptyAt == null || emptyAt.plus(quota.quietPeriod()).compareTo(NOW) <= 0;
  }

  private static Map<Long, Long> ranks(List<Node> nodes, List<Message> flying, int place) {
    TreeSet<Long> numbers = new TreeSet<>(nodes.get(place).holder.requestTimes().keySet());
    if (nodes.get(place).holder.lease() != null) {
      numbers.add(nodes.get(place).holder.lease().requestNumber());
    }
    flying.stream()
        .filter(one -> one.payload != null && one.payload.holder().address().equals(address(place)))
        .forEach(one -> numbers.add(one.payload.requestNumber()));
    nodes.forEach(
        node ->
            node.allocator
                .slots()
                .get(address(place))
                .grants()
                .forEach(one -> numbers.add(one.requestNumber())));
    Map<Long, Long> ranks = new HashMap<>();
    numbers.forEach(number -> ranks.put(number, ranks.size() + 1L));
    return ranks;
  }

  private Node ranked(Node node, Map<Long, Long> own, List<Map<Long, Long>> ranks) {
    LeaseHolder holder = node.holder;
    TreeMap<Long, Duration> requestTimes = new TreeMap<>();
    holder.requestTimes().forEach((number, at) -> requestTimes.put(own.get(number), at));
    LeaseHolder.Lease lease =
        holder.lease() == null
            ? null
            : new LeaseHolder.Lease(
                own.get(holder.lease().requestNumber()),
                holder.lease().share(),
                holder.lease().expiresAt());
    if (node.allocator == fresh) {
      return new Node(
          new LeaseHolder(
              holder.self(), quota, holder.startedAt(), own.size(), requestTimes, lease),
          fresh,
          node.stopped,
          node.dead);
    }
    Map<Address, LeaseSlot> slots = new HashMap<>();
    node.allocator
        .slots()
        .forEach(
            (address, place) ->
                slots.put(
                    address,
                    new LeaseSlot(
                        place.incarnation(),
                        place.incarnationSeenAt(),
                        place.ended(),
                        place.provenEmptyAt(),
                        place.decommissioned(),
                        place.assumedEmptyUntil(),
                        place.lastRequestAt(),
                        place.grants().stream()
                            .map(
                                one ->
                                    new LeaseSlot.LeaseGrant(
                                        ranks.get(address.port() - 1).get(one.requestNumber()),
                                        one.share(),
                                        one.grantedAt(),
                                        one.expiresAt()))
                            .toList())));
    return new Node(
        new LeaseHolder(holder.self(), quota, holder.startedAt(), own.size(), requestTimes, lease),
        new QuotaAllocator(
            quota,
            node.allocator.term(),
            node.allocator.allocatesFrom(),
            node.allocator.leadsUntil(),
            slots),
        node.stopped,
        node.dead);
  }

  private static LeaseMessage ranked(LeaseMessage word, List<Map<Long, Long>> ranks) {
    long number = ranks.get(word.holder().address().port() - 1).get(word.requestNumber());
    if (word instanceof LeaseMessage.Grant grant) {
      return new LeaseMessage.Grant(grant.holder(), number, grant.share(), grant.leaseDuration());
    }
    return word instanceof LeaseMessage.Request
        ? new LeaseMessage.Request(word.holder(), number)
        : word instanceof LeaseMessage.Leave
            ? new LeaseMessage.Leave(word.holder(), number)
            : new LeaseMessage.Release(word.holder(), number);
  }
}
