package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;

/**
 * Owns when what the leader's membership holds goes into the view. A change waits until it has
 * stood for a moment, and as long as others are on the way, so that many go as one cut; what comes
 * and goes in the meantime never gets in. Each cut names the view it was derived from and is agreed
 * on that one alone. Immutable; begun anew whenever its holder did not lead or was out of touch.
 *
 * @param wantedSince who is to go in or out, and since when without a break
 * @param lastProposedAt when the last cut was proposed
 */
record ViewChangeBatcher(Map<Member, Duration> wantedSince, Duration lastProposedAt) {

  /**
   * A change is a stable one already; a group that died together is found dead within about a
   * probe's period.
   */
  static final Duration QUIET_PERIOD = Duration.ofSeconds(1);

  /** Others that change all the time hold up nobody for longer. */
  static final Duration MAX_WAIT = Duration.ofSeconds(5);

  /**
   * Each cut is a write to most voters' disks; what was proposed and not heard of is proposed again
   * after it.
   */
  static final Duration MIN_PROPOSAL_INTERVAL = Duration.ofSeconds(2);

  /**
   * Of whom membership knows nothing it died before this leader came, or is not heard of yet: some
   * exchanges.
   */
  static final Duration UNKNOWN_MEMBER_TIMEOUT = Duration.ofSeconds(30);

  record Step(ViewChangeBatcher next, Optional<Command.MembershipChange> change) {}

  ViewChangeBatcher {
    wantedSince = Map.copyOf(wantedSince);
  }

  static ViewChangeBatcher initial(Duration now) {
    return new ViewChangeBatcher(Map.of(), now.minus(MIN_PROPOSAL_INTERVAL));
  }

  /** What membership holds at this moment, beside the view. */
  Step step(MembershipView view, Member self, Map<Member, MemberState> others, Duration now) {
    Map<Member, Duration> waits = requiredWaits(view, self, others);
    Map<Member, Duration> since = new HashMap<>();
    waits.keySet().forEach(member -> since.put(member, wantedSince.getOrDefault(member, now)));
    List<Member> ripe = new ArrayList<>();
    boolean anotherPending = false;
    boolean overdue = false;
    for (Map.Entry<Member, Duration> member : waits.entrySet()) {
      Duration waited = now.minus(since.get(member.getKey()));
      if (waited.compareTo(member.getValue()) >= 0) {
        ripe.add(member.getKey());
        overdue |= waited.compareTo(MAX_WAIT) >= 0;
      } else {
        anotherPending |= member.getValue().equals(QUIET_PERIOD);
      }
    }
    boolean propose =
        !ripe.isEmpty()
            && (overdue || !anotherPending)
            && now.minus(lastProposedAt).compareTo(MIN_PROPOSAL_INTERVAL) >= 0;
    return propose
        ? new Step(new ViewChangeBatcher(since, now), Optional.of(toMembershipChange(view, ripe)))
        : new Step(new ViewChangeBatcher(since, lastProposedAt), Optional.empty());
  }

  /** Who is wanted in or out, and how long that has to stand. */
  private static Map<Member, Duration> requiredWaits(
      MembershipView view, Member self, Map<Member, MemberState> others) {
    Map<Address, Member> latest = new HashMap<>();
    view.members().forEach(member -> latest.put(member.address(), member));
    List<Member> alive = new ArrayList<>(List.of(self));
    others.forEach(
        (member, state) -> {
          if (state == MemberState.ALIVE) {
            alive.add(member);
          }
        });
    alive.forEach(
        member ->
            latest.merge(
                member.address(),
                member,
                (first, second) -> first.incarnation() >= second.incarnation() ? first : second));
    Map<Member, Duration> waits = new HashMap<>();
    alive.stream()
        .filter(member -> latest.get(member.address()).equals(member) && !view.contains(member))
        .forEach(member -> waits.put(member, QUIET_PERIOD));
    for (Member member : view.members()) {
      MemberState state = others.get(member);
      if (state == MemberState.AWAY
          || state == MemberState.LEFT
          || !latest.get(member.address()).equals(member)) {
        waits.put(member, QUIET_PERIOD);
      } else if (state == null && !member.equals(self)) {
        waits.put(member, UNKNOWN_MEMBER_TIMEOUT);
      }
    }
    return waits;
  }

  private static Command.MembershipChange toMembershipChange(
      MembershipView view, List<Member> ripe) {
    Comparator<Member> order =
        Comparator.comparing(Member::address).thenComparingLong(Member::incarnation);
    List<Member> removed = ripe.stream().filter(view::contains).sorted(order).toList();
    int freeSlots = ViewLimits.MAX_MEMBERS - view.members().size() + removed.size();
    return new Command.MembershipChange(
        view.number(),
        removed,
        ripe.stream()
            .filter(member -> !view.contains(member))
            .sorted(order)
            .limit(freeSlots)
            .toList());
  }
}
