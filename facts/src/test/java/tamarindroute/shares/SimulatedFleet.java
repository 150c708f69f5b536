package tamarindroute.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * A fleet in virtual time of which most gateways are killed at one moment. Messages are delayed,
 * lost and duplicated; there are random one-way partitions, pauses and restarts, and the leadership
 * moves. What live gateways may use is added up at every step.
 */
final class SimulatedFleet {

  /**
   * What happens to the fleet.
   *
   * @param hostsRefuse whether the hosts of killed gateways refuse connections
   * @param restarted attempts to restart a killed gateway, one per second from 32 s after the kill
   */
  record Plan(int size, int killed, boolean hostsRefuse, long limit, int restarted, long seed) {}

  /**
   * What live gateways may use, as parts of the full quota.
   *
   * @param used by seconds after the kill
   * @param maxUse most at any time
   */
  record Result(Map<Integer, Double> used, double maxUse) {}

  private static final Duration STEP_DURATION = Duration.ofMillis(50);
  private static final int STEPS_PER_SECOND = 20;
  private static final int KILL_STEP = 15 * STEPS_PER_SECOND;
  private static final int RESTART_STEP = KILL_STEP + 32 * STEPS_PER_SECOND;
  private static final int END_STEP = KILL_STEP + 45 * STEPS_PER_SECOND;
  private static final int LEADERSHIP_STEPS = 3 * STEPS_PER_SECOND;

  private final Plan plan;
  private final SharedQuota quota;
  private final Random random;
  private final List<LeaseHolder> holders = new ArrayList<>();
  private final List<QuotaAllocator> allocators = new ArrayList<>();
  private final boolean[] dead;
  private final int[] pausedUntil;
  private final int[] sendingFailsUntil;
  private final int[] receivingFailsUntil;
  private final TreeMap<Integer, List<Runnable>> events = new TreeMap<>();
  private int leader;
  private long term = 1;
  private int leadsUntil;
  private int step;

  SimulatedFleet(Plan plan) {
    this.plan = plan;
    this.quota =
        new SharedQuota(
            plan.size, plan.limit, SharedQuota.LEASE_DURATION, SharedQuota.QUIET_PERIOD);
    this.random = new Random(plan.seed);
    this.dead = new boolean[plan.size];
    this.pausedUntil = new int[plan.size];
    this.sendingFailsUntil = new int[plan.size];
    this.receivingFailsUntil = new int[plan.size];
    for (int i = 0; i < plan.size; i++) {
      Member member = new Member(ModelState.address(i), 1);
      holders.add(LeaseHolder.startedAt(member, quota, now()));
      allocators.add(freshAllocator());
    }
  }

  Result run() {
    Map<Integer, Double> used = new HashMap<>();
    double maxUse = 0;
    for (step = 0; step < END_STEP; step++) {
      injectFaults();
      updateLeadership();
      runEvents();
      sendRequests();
      if (step % STEPS_PER_SECOND == 0) {
        probe();
      }
      double use = use();
      maxUse = Math.max(maxUse, use);
      if ((step - KILL_STEP) % STEPS_PER_SECOND == 0) {
        used.put((step - KILL_STEP) / STEPS_PER_SECOND, use);
      }
    }
    return new Result(used, maxUse);
  }

  private void runEvents() {
    events.getOrDefault(step, List.of()).forEach(Runnable::run);
    events.remove(step);
  }

  private void sendRequests() {
    for (int i = 0; i < plan.size; i++) {
      if (isRunning(i) && now().compareTo(holders.get(i).nextRequestAt()) >= 0) {
        LeaseHolder.Step request = holders.get(i).request(now());
        holders.set(i, request.holder());
        send(i, leader, request.message());
      }
    }
  }

  private double use() {
    long used =
        IntStream.range(0, plan.size)
            .filter(i -> !dead[i])
            .mapToLong(i -> holders.get(i).usableShare(now()).share())
            .sum();
    return (double) used / SharedQuota.FULL_QUOTA;
  }

  private Duration now() {
    return STEP_DURATION.multipliedBy(step);
  }

  private boolean isRunning(int index) {
    return !dead[index] && step >= pausedUntil[index];
  }

  private QuotaAllocator freshAllocator() {
    return QuotaAllocator.initial(
        quota,
        IntStream.range(0, plan.size).mapToObj(ModelState::address).collect(Collectors.toSet()));
  }

  private void injectFaults() {
    if (step == KILL_STEP) {
      // The first ones, the leader among them; the last ones stay alive.
      for (int i = 0; i < plan.killed; i++) {
        dead[i] = true;
      }
    }
    // Once per second on average a one-way partition of up to 8 s.
    if (random.nextInt(STEPS_PER_SECOND) == 0) {
      int[] failsUntil = random.nextBoolean() ? sendingFailsUntil : receivingFailsUntil;
      int index = random.nextInt(plan.size);
      failsUntil[index] = step + random.nextInt(8 * STEPS_PER_SECOND);
    }
    // Once per three seconds on average a pause of up to 6 s.
    if (random.nextInt(3 * STEPS_PER_SECOND) == 0) {
      int index = random.nextInt(plan.size);
      pausedUntil[index] = step + random.nextInt(6 * STEPS_PER_SECOND);
    }
    int secondsSinceRestarts = (step - RESTART_STEP) / STEPS_PER_SECOND;
    if (step > RESTART_STEP
        && step % STEPS_PER_SECOND == 0
        && secondsSinceRestarts <= plan.restarted) {
      restartIfDead(random.nextInt(plan.killed));
    }
  }

  private void restartIfDead(int index) {
    if (dead[index]) {
      dead[index] = false;
      Member previous = holders.get(index).self();
      Member successor = new Member(previous.address(), previous.incarnation() + 1);
      holders.set(index, LeaseHolder.startedAt(successor, quota, now()));
      allocators.set(index, freshAllocator());
    }
  }

  /**
   * The leadership lasts 3 s and is renewed twice per second. A second after its end another
   * gateway becomes the leader.
   */
  private void updateLeadership() {
    boolean canRenew = isRunning(leader) && step % 10 == 0 && sendingFailsUntil[leader] <= step;
    if (canRenew && (step < leadsUntil || step == 0)) {
      lead();
    } else if (step > leadsUntil + STEPS_PER_SECOND) {
      int next = random.nextInt(plan.size);
      if (isRunning(next)) {
        leader = next;
        term++;
        lead();
      }
    }
  }

  private void lead() {
    leadsUntil = step + LEADERSHIP_STEPS;
    Duration until = STEP_DURATION.multipliedBy(leadsUntil);
    allocators.set(leader, allocators.get(leader).onLeadership(term, until, now()));
  }

  /** The leader tries to connect to all without a lease; hosts without a gateway may refuse. */
  private void probe() {
    if (!isRunning(leader) || !plan.hostsRefuse) {
      return;
    }
    int prober = leader;
    Duration attemptedAt = now();
    for (int i = 0; i < plan.size; i++) {
      Address address = ModelState.address(i);
      if (dead[i] && !allocators.get(prober).slots().get(address).holdsLease(attemptedAt)) {
        int delaySteps = 1 + random.nextInt(4);
        schedule(delaySteps, prober, () -> onRefused(prober, address, attemptedAt));
      }
    }
  }

  private void onRefused(int prober, Address address, Duration attemptedAt) {
    QuotaAllocator allocator = allocators.get(prober);
    allocators.set(prober, allocator.onConnectionRefused(address, attemptedAt));
  }

  private void send(int from, int to, LeaseMessage message) {
    if (sendingFailsUntil[from] > step
        || receivingFailsUntil[to] > step
        || random.nextInt(20) == 0) {
      return;
    }
    int copies = random.nextInt(20) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      // Up to 150 ms, one in fifty up to 5 s.
      int delaySteps = random.nextInt(50) == 0 ? random.nextInt(100) : random.nextInt(3);
      schedule(1 + delaySteps, to, () -> deliver(to, message));
    }
  }

  /** Runs an event at a gateway: later if it is paused then, never if it is dead. */
  private void schedule(int delaySteps, int index, Runnable event) {
    events
        .computeIfAbsent(step + delaySteps, key -> new ArrayList<>())
        .add(
            () -> {
              if (!dead[index] && step < pausedUntil[index]) {
                schedule(pausedUntil[index] - step, index, event);
              } else if (!dead[index]) {
                event.run();
              }
            });
  }

  private void deliver(int to, LeaseMessage message) {
    if (message instanceof LeaseMessage.Grant grant) {
      holders.set(to, holders.get(to).onGrant(grant));
      return;
    }
    QuotaAllocator.Step result = allocators.get(to).onMessage(message, now());
    allocators.set(to, result.allocator());
    if (result.grant() != null) {
      send(to, ModelState.index(message.holder().address()), result.grant());
    }
  }
}
