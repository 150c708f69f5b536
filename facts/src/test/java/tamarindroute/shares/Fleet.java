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
final class Fleet {

  /** Whether the machines of the killed still stand, so that they refuse. */
  record Plan(int size, int killed, boolean machinesStand, long most, int restarted, long seed) {}

  /**
   * Seconds after the kill, and the part of the whole that the living may use; the most ever in
   * use.
   */
  record Played(Map<Integer, Double> used, double mostEver) {}

  static final Duration STEP = Duration.ofMillis(50);
  private static final int KILL_AT = 300;
  private static final int END = KILL_AT + 900;

  private final Plan plan;
  private final Bound bound;
  private final Random chance;
  private final List<Holder> holders = new ArrayList<>();
  private final List<Dealer> dealers = new ArrayList<>();
  private final boolean[] dead;
  private final int[] stoppedUntil;
  private final int[] cutOutUntil;
  private final int[] cutInUntil;
  private final TreeMap<Integer, List<Runnable>> due = new TreeMap<>();
  private int leader;
  private long view = 1;
  private int leadUntil;
  private int step;

  Fleet(Plan plan) {
    this.plan = plan;
    bound = new Bound(plan.size, plan.most, Bound.LENGTH, Bound.QUIET);
    chance = new Random(plan.seed);
    dead = new boolean[plan.size];
    stoppedUntil = new int[plan.size];
    cutOutUntil = new int[plan.size];
    cutInUntil = new int[plan.size];
    for (int i = 0; i < plan.size; i++) {
      holders.add(Holder.started(new Member(ModelCheck.address(i), 1), bound, now()));
      dealers.add(fresh());
    }
  }

  Played play() {
    Map<Integer, Double> used = new HashMap<>();
    double most = 0;
    for (step = 0; step < END; step++) {
      faults();
      lead();
      for (Runnable event : due.getOrDefault(step, List.of())) {
        event.run();
      }
      due.remove(step);
      for (int i = 0; i < plan.size; i++) {
        if (runs(i) && now().compareTo(holders.get(i).due()) >= 0) {
          Holder.Step asked = holders.get(i).asking(now());
          holders.set(i, asked.holder());
          send(i, leader, asked.word());
        }
      }
      if (step % 20 == 0) {
        probe();
      }
      long sum =
          IntStream.range(0, plan.size)
              .filter(i -> !dead[i])
              .mapToLong(i -> holders.get(i).share(now()).part())
              .sum();
      most = Math.max(most, (double) sum / Bound.WHOLE);
      if ((step - KILL_AT) % 20 == 0) {
        used.put((step - KILL_AT) / 20, (double) sum / Bound.WHOLE);
      }
    }
    return new Played(used, most);
  }

  private Duration now() {
    return STEP.multipliedBy(step);
  }

  private boolean runs(int i) {
    return !dead[i] && step >= stoppedUntil[i];
  }

  private Dealer fresh() {
    return Dealer.started(
        bound,
        IntStream.range(0, plan.size).mapToObj(ModelCheck::address).collect(Collectors.toSet()));
  }

  private void faults() {
    for (int i = 0; step == KILL_AT && i < plan.killed; i++) {
      // Never all: the last ones stay. The one that leads is among the killed.
      dead[i] = true;
    }
    // One cut begins a second, for up to 8 s, one way; one stop each three seconds, for up to 6 s.
    if (chance.nextInt(20) == 0) {
      (chance.nextBoolean() ? cutOutUntil : cutInUntil)[chance.nextInt(plan.size)] =
          step + chance.nextInt(160);
    }
    if (chance.nextInt(60) == 0) {
      stoppedUntil[chance.nextInt(plan.size)] = step + chance.nextInt(120);
    }
    if (step > KILL_AT + 640
        && step % 20 == 0
        && step / 20 - (KILL_AT + 640) / 20 <= plan.restarted) {
      int i = chance.nextInt(plan.killed);
      if (dead[i]) {
        dead[i] = false;
        holders.set(
            i,
            Holder.started(
                new Member(ModelCheck.address(i), holders.get(i).self().birth() + 1),
                bound,
                now()));
        dealers.set(i, fresh());
      }
    }
  }

  /**
   * The lead is renewed each half second for 3 s; once it is over, another takes it a second later.
   */
  private void lead() {
    if (runs(leader)
        && step % 10 == 0
        && cutOutUntil[leader] <= step
        && (step < leadUntil || step == 0)) {
      leadUntil = step + 60;
      dealers.set(leader, dealers.get(leader).leads(view, STEP.multipliedBy(leadUntil), now()));
    } else if (step > leadUntil + 20) {
      int next = chance.nextInt(plan.size);
      if (runs(next)) {
        leader = next;
        view++;
        leadUntil = step + 60;
        dealers.set(leader, dealers.get(leader).leads(view, STEP.multipliedBy(leadUntil), now()));
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
      Address address = ModelCheck.address(i);
      if (dead[i] && !dealers.get(from).places().get(address).holds(sent)) {
        at(
            1 + chance.nextInt(4),
            from,
            () -> dealers.set(from, dealers.get(from).refused(address, sent)));
      }
    }
  }

  private void send(int from, int to, Word word) {
    if (cutOutUntil[from] > step || cutInUntil[to] > step || chance.nextInt(20) == 0) {
      return;
    }
    for (int copies = chance.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
      // Up to 150 ms, one in fifty far later.
      int way = chance.nextInt(50) == 0 ? chance.nextInt(100) : chance.nextInt(3);
      at(1 + way, to, () -> heard(to, word));
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

  private void heard(int to, Word word) {
    if (word instanceof Word.Grant grant) {
      holders.set(to, holders.get(to).granted(grant));
      return;
    }
    Dealer.Step dealt = dealers.get(to).told(word, now());
    dealers.set(to, dealt.dealer());
    if (dealt.grant() != null) {
      send(to, word.holder().address().port() - 1, dealt.grant());
    }
  }
}
