package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.shares.ModelState.Budget;
import tamarindroute.shares.ModelState.Message;
import tamarindroute.shares.ModelState.Node;

/**
 * Explores all executions of some gateways that share a quota, within a budget of faults. Each may
 * request at any time; each message may arrive at once, late, twice, out of order or never; each
 * gateway may be paused and resumed, or killed and restarted; each may lead once nobody else does.
 *
 * <p>Time passes in ticks and is relative to the current time, and request numbers are replaced by
 * their order, so that states with equal futures are explored once. What live gateways may use is
 * added up in every state; a paused one is alive.
 */
final class QuotaModelChecker {

  /** Duration of a leadership: a leader that was paused for two ticks is still the leader. */
  private static final int LEADERSHIP_TICKS = 3;

  /**
   * Indexes of the gateways that may request, release or leave, be paused, be killed, and lead, as
   * digits. With fewer of them the state space is small enough to be explored completely.
   */
  record Actors(String requesting, String releasing, String pausing, String dying, String leading) {

    static boolean contains(String indexes, int index) {
      return indexes.indexOf('0' + index) >= 0;
    }
  }

  private final ModelOperations operations;
  private final SharedQuota quota;
  private final Actors actors;
  private final int size;
  private final QuotaAllocator fresh;
  private final StateNormalizer normalizer;

  QuotaModelChecker(ModelOperations operations, SharedQuota quota, Actors actors) {
    this.operations = operations;
    this.quota = quota;
    this.actors = actors;
    this.size = quota.gateways();
    Set<Address> addresses = new HashSet<>();
    for (int i = 0; i < size; i++) {
      addresses.add(ModelState.address(i));
    }
    this.fresh = QuotaAllocator.initial(quota, addresses);
    this.normalizer = new StateNormalizer(quota, fresh);
  }

  /**
   * Returns the most that live gateways may use together in any state, in millionths. Ends early
   * once it exceeds the limit.
   *
   * @throws IllegalStateException if there are more states than allowed
   */
  long maxUsed(Budget budget, int maxStates) {
    ModelState initial = normalizer.normalize(initialState(budget));
    Set<ModelState> seen = new HashSet<>(Set.of(initial));
    ArrayDeque<ModelState> open = new ArrayDeque<>(seen);
    long maxUsed = 0;
    while (!open.isEmpty() && maxUsed <= quota.limit()) {
      ModelState state = open.poll();
      maxUsed = Math.max(maxUsed, state.used());
      if (maxUsed <= quota.limit()) {
        if (seen.size() > maxStates) {
          throw new IllegalStateException("more than " + maxStates + " states");
        }
        for (ModelState successor : successors(state)) {
          ModelState normalized = normalizer.normalize(successor);
          if (seen.add(normalized)) {
            open.add(normalized);
          }
        }
      }
    }
    return maxUsed;
  }

  /** The first incarnations are past their quiet period. */
  private ModelState initialState(Budget budget) {
    Duration startedAt = ModelState.NOW.minus(quota.quietPeriod());
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      Member member = new Member(ModelState.address(i), 1);
      LeaseHolder holder = LeaseHolder.startedAt(member, quota, startedAt);
      nodes.add(new Node(holder, fresh, false, false));
    }
    return new ModelState(nodes, List.of(), -1, 0, ModelState.NOW, budget);
  }

  private List<ModelState> successors(ModelState state) {
    List<ModelState> successors = new ArrayList<>();
    successors.add(tick(state));
    for (int i = 0; i < size; i++) {
      Node node = state.nodes().get(i);
      if (node.dead()) {
        successors.add(restart(state, i));
        continue;
      }
      addFaults(state, i, successors);
      if (!node.paused()) {
        addMessages(state, i, successors);
        addLeadership(state, i, successors);
      }
    }
    for (Message message : state.inFlight()) {
      addDeliveries(state, message, successors);
    }
    return successors;
  }

  private ModelState restart(ModelState state, int index) {
    Member previous = state.nodes().get(index).holder().self();
    Member successor = new Member(previous.address(), previous.incarnation() + 1);
    return state.withNode(index, new Node(operations.start(successor, quota), fresh, false, false));
  }

  private void addFaults(ModelState state, int index, List<ModelState> successors) {
    Node node = state.nodes().get(index);
    Budget budget = state.budget();
    if (node.paused()) {
      successors.add(state.withNode(index, node.withPaused(false)));
    } else if (budget.pauses() > 0 && Actors.contains(actors.pausing, index)) {
      successors.add(state.withNode(index, node.withPaused(true), budget.onePauseLess()));
    }
    if (budget.kills() > 0 && Actors.contains(actors.dying, index)) {
      successors.add(state.withNode(index, node.killed(), budget.oneKillLess()));
    }
  }

  /** Requests, releases and leaves, and as the leader probes gateways that have ended. */
  private void addMessages(ModelState state, int index, List<ModelState> successors) {
    if (state.leader() < 0 || state.inFlight().size() >= state.budget().maxInFlight()) {
      return;
    }
    Node node = state.nodes().get(index);
    boolean hasJustRequested = node.holder().requestTimes().containsValue(ModelState.NOW);
    if (Actors.contains(actors.requesting, index) && !hasJustRequested) {
      successors.add(send(state, index, node.holder().request(ModelState.NOW)));
    }
    if (Actors.contains(actors.releasing, index) && node.holder().lease() != null) {
      successors.add(send(state, index, node.holder().release()));
      if (state.budget().kills() > 0) {
        successors.add(
            state
                .withNode(index, node.killed(), state.budget().oneKillLess())
                .withMessage(Message.of(state.leader(), node.holder().leave())));
      }
    }
    for (int other = 0; state.leader() == index && other < size; other++) {
      if (state.nodes().get(other).dead()) {
        successors.add(state.withMessage(Message.refusal(index, other)));
      }
    }
  }

  private static ModelState send(ModelState state, int index, LeaseHolder.Step step) {
    Node node = state.nodes().get(index).withHolder(step.holder());
    return state.withNode(index, node).withMessage(Message.of(state.leader(), step.message()));
  }

  /** The leader renews its leadership or begins a new one; another may lead once it has ended. */
  private void addLeadership(ModelState state, int index, List<ModelState> successors) {
    Budget budget = state.budget();
    boolean isLeader = state.leader() == index;
    boolean isOver = state.isLeadershipOver();
    if (budget.leaders() == 0) {
      return;
    }
    if (isLeader && !isOver) {
      successors.add(lead(state, index, state.term(), budget));
    } else if (isOver && (isLeader || Actors.contains(actors.leading, index))) {
      successors.add(lead(state, index, state.term() + 1, budget.oneLeaderLess()));
    }
  }

  private ModelState lead(ModelState state, int index, long term, Budget budget) {
    Duration until = leadershipEnd();
    Node node = state.nodes().get(index);
    QuotaAllocator allocator = operations.onLeadership(node.allocator(), term, until);
    ModelState led = state.withNode(index, node.withAllocator(allocator), budget);
    return new ModelState(led.nodes(), led.inFlight(), index, term, until, budget);
  }

  private static Duration leadershipEnd() {
    return ModelState.NOW.plus(TimeShift.TICK.multipliedBy(LEADERSHIP_TICKS));
  }

  /** A message that is never delivered is one that grows too old, except to paused or dead ones. */
  private void addDeliveries(ModelState state, Message message, List<ModelState> successors) {
    ModelState without = state.withoutMessage(message);
    Node recipient = state.nodes().get(message.to());
    if (recipient.dead() || recipient.paused()) {
      successors.add(without);
      return;
    }
    ModelState delivered = deliver(without, message);
    successors.add(delivered);
    Budget budget = state.budget();
    if (budget.duplicates() > 0) {
      successors.add(delivered.withBudget(budget.oneDuplicateLess()).withMessage(message));
    }
  }

  private ModelState deliver(ModelState state, Message message) {
    Node node = state.nodes().get(message.to());
    if (message.payload() == null) {
      Address refusing = ModelState.address(message.refusedBy());
      QuotaAllocator allocator =
          operations.onConnectionRefused(node.allocator(), refusing, message.sentAt());
      return state.withNode(message.to(), node.withAllocator(allocator));
    }
    if (message.payload() instanceof LeaseMessage.Grant grant) {
      LeaseHolder holder = operations.onGrant(node.holder(), grant);
      return state.withNode(message.to(), node.withHolder(holder));
    }
    QuotaAllocator.Step step = node.allocator().onMessage(message.payload(), ModelState.NOW);
    ModelState next = state.withNode(message.to(), node.withAllocator(step.allocator()));
    if (step.grant() == null) {
      return next;
    }
    int holder = ModelState.index(step.grant().holder().address());
    return next.withMessage(Message.of(holder, step.grant()));
  }

  private ModelState tick(ModelState state) {
    List<Node> nodes = new ArrayList<>();
    state.nodes().forEach(node -> nodes.add(tick(node)));
    Duration leadsUntil = TimeShift.earlier(state.leadsUntil());
    // Without further leaders nothing follows from the end of a leadership, so it is renewed.
    if (state.budget().leaders() == 0 && state.leader() >= 0 && !state.isLeadershipOver()) {
      Node leader = nodes.get(state.leader());
      if (!leader.dead() && !leader.paused()) {
        leadsUntil = leadershipEnd();
        QuotaAllocator allocator =
            operations.onLeadership(leader.allocator(), state.term(), leadsUntil);
        nodes.set(state.leader(), leader.withAllocator(allocator));
      }
    }
    return new ModelState(
        nodes, tickMessages(state), state.leader(), state.term(), leadsUntil, state.budget());
  }

  @SuppressWarnings("ReferenceEquality") // A shortcut: fresh allocators do not change.
  private Node tick(Node node) {
    QuotaAllocator allocator =
        node.allocator() == fresh ? fresh : TimeShift.earlier(node.allocator());
    boolean isRunning = !node.dead() && !node.paused();
    return new Node(
        TimeShift.earlier(node.holder()),
        isRunning ? operations.onTick(allocator) : allocator,
        node.paused(),
        node.dead());
  }

  /** Drops messages that are too old, except those that wait at a paused gateway. */
  private static List<Message> tickMessages(ModelState state) {
    int maxAge = state.budget().maxDelayTicks();
    List<Message> remaining = new ArrayList<>();
    for (Message message : state.inFlight()) {
      if (message.ageTicks() < maxAge || state.nodes().get(message.to()).paused()) {
        remaining.add(
            new Message(
                message.to(),
                message.payload(),
                message.refusedBy(),
                TimeShift.earlier(message.sentAt()),
                Math.min(maxAge, message.ageTicks() + 1)));
      }
    }
    return remaining;
  }
}
