package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.View;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;

/**
 * Owns when what the leader's membership holds goes into the view. A change waits until it has
 * stood for a moment, and as long as others are on the way, so that many go as one cut; what comes
 * and goes in the meantime never gets in. Each cut names the view it was derived from and is agreed
 * on that one alone. Immutable; begun anew whenever its holder did not lead or was out of touch.
 *
 * @param wanted who is to go in or out, and since when without a break
 * @param proposed when the last cut was proposed
 */
record Cutting(Map<Member, Duration> wanted, Duration proposed) {

  /**
   * A change is a stable one already; a group that died together is found dead within about a
   * probe's period.
   */
  static final Duration QUIET = Duration.ofSeconds(1);

  /** Others that change all the time hold up nobody for longer. */
  static final Duration LONGEST = Duration.ofSeconds(5);

  /**
   * Each cut is a write to most voters' disks; what was proposed and not heard of is proposed again
   * after it.
   */
  static final Duration BETWEEN = Duration.ofSeconds(2);

  /**
   * Of whom membership knows nothing it died before this leader came, or is not heard of yet: some
   * exchanges.
   */
  static final Duration UNKNOWN = Duration.ofSeconds(30);

  record Step(Cutting next, Optional<Command.Cut> cut) {}

  Cutting {
    wanted = Map.copyOf(wanted);
  }

  static Cutting none(Duration now) {
    return new Cutting(Map.of(), now.minus(BETWEEN));
  }

  /** What membership holds at this moment, beside the view. */
  Step step(View view, Member self, Map<Member, Standing> others, Duration now) {
    Map<Member, Duration> waits = waits(view, self, others);
    Map<Member, Duration> since = new HashMap<>();
    waits.keySet().forEach(one -> since.put(one, wanted.getOrDefault(one, now)));
    List<Member> ripe = new ArrayList<>();
    boolean comes = false;
    boolean overdue = false;
    for (Map.Entry<Member, Duration> one : waits.entrySet()) {
      Duration stood = now.minus(since.get(one.getKey()));
      if (stood.compareTo(one.getValue()) >= 0) {
        ripe.add(one.getKey());
        overdue |= stood.compareTo(LONGEST) >= 0;
      } else {
        comes |= one.getValue().equals(QUIET);
      }
    }
    boolean goes =
        !ripe.isEmpty() && (overdue || !comes) && now.minus(proposed).compareTo(BETWEEN) >= 0;
    return goes
        ? new Step(new Cutting(since, now), Optional.of(cut(view, ripe)))
        : new Step(new Cutting(since, proposed), Optional.empty());
  }

  /** Who is wanted in or out, and how long that has to stand. */
  private static Map<Member, Duration> waits(View view, Member self, Map<Member, Standing> others) {
    Map<Address, Member> latest = new HashMap<>();
    view.members().forEach(one -> latest.put(one.address(), one));
    List<Member> alive = new ArrayList<>(List.of(self));
    others.forEach(
        (one, standing) -> {
          if (standing == Standing.ALIVE) {
            alive.add(one);
          }
        });
    alive.forEach(
        one -> latest.merge(one.address(), one, (a, b) -> a.birth() >= b.birth() ? a : b));
    Map<Member, Duration> waits = new HashMap<>();
    alive.stream()
        .filter(one -> latest.get(one.address()).equals(one) && !view.has(one))
        .forEach(one -> waits.put(one, QUIET));
    for (Member one : view.members()) {
      Standing standing = others.get(one);
      if (standing == Standing.AWAY
          || standing == Standing.LEFT
          || !latest.get(one.address()).equals(one)) {
        waits.put(one, QUIET);
      } else if (standing == null && !one.equals(self)) {
        waits.put(one, UNKNOWN);
      }
    }
    return waits;
  }

  private static Command.Cut cut(View view, List<Member> ripe) {
    Comparator<Member> order =
        Comparator.comparing(Member::address).thenComparingLong(Member::birth);
    List<Member> out = ripe.stream().filter(view::has).sorted(order).toList();
    int room = Ledger.MEMBERS_MOST - view.members().size() + out.size();
    return new Command.Cut(
        view.number(),
        out,
        ripe.stream().filter(one -> !view.has(one)).sorted(order).limit(room).toList());
  }
}
