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
 * A fleet in virtual time: gateways of which most are killed at one moment, with words that are
 * late, lost and doubled, random one-way cuts, stops, restarts, and a lead that moves. What the
 * living may use is summed up at every step.
 */
final class SimulatedFleet {

  /** Whether the machines of the killed still stand, so that they refuse. */
  record Plan(int size, int killed, boolean machinesStand, long limit, int restarted, long seed) {}

  /**
   * Seconds after the kill, and the part of the whole that the living may use; the most ever in
   * use.
   */
  record Result(Map<Integer, Double> used, double maxEver) {}

  static final Duration STEP_DURATION = Duration.ofMillis(50);
  private static final int KILL_AT = 300;
  private static final int END = KILL_AT + 900;

  private final Plan plan;
  private final SharedQuota quota;
  private final Random random;
  private final List<LeaseHolder> holders = new ArrayList<>();
  private final List<QuotaAllocator> allocators = new ArrayList<>();
  private final boolean[] dead;
  private final int[] stoppedUntil;
  private final int[] cutOutUntil;
  private final int[] cutInUntil;
  private final TreeMap<Integer, List<Runnable>> due = new TreeMap<>();
  private int leader;
  private long term = 1;
  private int leadsUntil;
  private int step;

  SimulatedFleet(Plan plan) {
    this.plan = plan;
    quota =
        new SharedQuota(
            plan.size, plan.limit, SharedQuota.LEASE_DURATION, SharedQuota.QUIET_PERIOD);
    random = new Random(plan.seed);
    dead = new boolean[plan.size];
    stoppedUntil = new int[plan.size];
    cutOutUntil = new int[plan.size];
    cutInUntil = new int[plan.size];
    for (int i = 0; i < plan.size; i++) {
      holders.add(LeaseHolder.startedAt(new Member(QuotaModelChecker.address(i), 1), quota, now()));
      allocators.add(fresh());
    }
  }

  Result play() {
    Map<Integer, Double> used = new HashMap<>();
    double most = 0;
    for (step = 0; step < END; step++) {
      faults();
      updateLeadership();
      for (Runnable event : due.getOrDefault(step, List.of())) {
        event.run();
      }
      due.remove(step);
      for (int i = 0; i < plan.size; i++) {
        if (runs(i) && now().compareTo(holders.get(i).nextRequestAt()) >= 0) {
          LeaseHolder.Step asked = holders.get(i).request(now());
          holders.set(i, asked.holder());
          send(i, leader, asked.message());
        }
      }
      if (step % 20 == 0) {
        probe();
      }
      long sum =
          IntStream.range(0, plan.size)
              .filter(i -> !dead[i])
              .mapToLong(i -> holders.get(i).usableShare(now()).share())
              .sum();
      most = Math.max(most, (double) sum / SharedQuota.FULL_QUOTA);
      if ((step - KILL_AT) % 20 == 0) {
        used.put((step - KILL_AT) / 20, (double) sum / SharedQuota.FULL_QUOTA);
      }
    }
    return new Result(used, most);
  }

  private Duration now() {
    return STEP_DURATION.multipliedBy(step);
  }

  private boolean runs(int i) {
    return !dead[i] && step >= stoppedUntil[i];
  }

  private QuotaAllocator fresh() {
    return QuotaAllocator.initial(
        quota,
        IntStream.range(0, plan.size)
            .mapToObj(QuotaModelChecker::address)
            .collect(Collectors.toSet()));
  }

  private void faults() {
    for (int i = 0; step == KILL_AT && i < plan.killed; i++) {
      // Never all: the last ones stay. The one that leads is among the killed.
      dead[i] = true;
    }
    // One cut begins a second, for up to 8 s, one way; one stop each three seconds, for up to 6 s.
    if (random.nextInt(20) == 0) {
      (random.nextBoolean() ? cutOutUntil : cutInUntil)[random.nextInt(plan.size)] =
          step + random.nextInt(160);
    }
    if (random.nextInt(60) == 0) {
      stoppedUntil[random.nextInt(plan.size)] = step + random.nextInt(120);
    }
    if (step > KILL_AT + 640
        && step % 20 == 0
        && step / 20 - (KILL_AT + 640) / 20 <= plan.restarted) {
      int i = random.nextInt(plan.killed);
      if (dead[i]) {
        dead[i] = false;
        holders.set(
            i,
            LeaseHolder.startedAt(
                new Member(QuotaModelChecker.address(i), holders.get(i).self().incarnation() + 1),
                quota,
                now()));
        allocators.set(i, fresh());
      }
    }
  }

  /**
   * The lead is renewed each half second for 3 s; once it is over, another takes it a second later.
   */
  private void updateLeadership() {
    if (runs(leader)
        && step % 10 == 0
        && cutOutUntil[leader] <= step
        && (step < leadsUntil || step == 0)) {
      leadsUntil = step + 60;
      allocators.set(
          leader,
          allocators.get(leader).onLeadership(term, STEP_DURATION.multipliedBy(leadsUntil), now()));
    } else if (step > leadsUntil + 20) {
      int next = random.nextInt(plan.size);
      if (runs(next)) {
        leader = next;
        term++;
        leadsUntil = step + 60;
        allocators.set(
            leader,
            allocators
                .get(leader)
                .onLeadership(term, STEP_DURATION.multipliedBy(leadsUntil), now()));
      }
    }
  }

  /**
   * The leader tries, a second apart, all from whom no lease is out; where a machine stands and
   * nobody listens it refuses.
   */
  private void probe() {
    int from = leader;
    Duration sent = now();
    for (int i = 0; runs(from) && plan.machinesStand && i < plan.size; i++) {
      Address address = QuotaModelChecker.address(i);
      if (dead[i] && !allocators.get(from).slots().get(address).holdsLease(sent)) {
        at(
            1 + random.nextInt(4),
            from,
            () -> allocators.set(from, allocators.get(from).onConnectionRefused(address, sent)));
      }
    }
  }

  private void send(int from, int to, LeaseMessage message) {
    if (cutOutUntil[from] > step || cutInUntil[to] > step || random.nextInt(20) == 0) {
      return;
    }
    for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
      // Up to 150 ms, one in fifty far later.
      int way = random.nextInt(50) == 0 ? random.nextInt(100) : random.nextInt(3);
      at(1 + way, to, () -> deliver(to, message));
    }
  }

  /** What comes to a stopped one waits until it goes on; to a dead one it is lost. */
  private void at(int steps, int to, Runnable event) {
    due.computeIfAbsent(step + steps, key -> new ArrayList<>())
        .add(
            () -> {
              if (!dead[to] && step < stoppedUntil[to]) {
                at(stoppedUntil[to] - step, to, event);
              } else if (!dead[to]) {
                event.run();
              }
            });
  }

  private void deliver(int to, LeaseMessage message) {
    if (message instanceof LeaseMessage.Grant grant) {
      holders.set(to, holders.get(to).onGrant(grant));
      return;
    }
    QuotaAllocator.Step dealt = allocators.get(to).onMessage(message, now());
    allocators.set(to, dealt.allocator());
    if (dealt.grant() != null) {
      send(to, message.holder().address().port() - 1, dealt.grant());
    }
  }
}
