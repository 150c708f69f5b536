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
 * Decides when the leader proposes that members are added to the view or removed from it. A change
 * waits until it was wanted for a while, and longer while others are about to be, so that many go
 * together; a member that flaps changes nothing. Each proposal is based on one view and valid for
 * that view only.
 *
 * <p>Immutable; has to start anew after its member did not lead or was not connected.
 *
 * @param wantedSince members to be added or removed, and since when without interruption
 * @param lastProposedAt when changes were last proposed
 */
record ViewChangeBatcher(Map<Member, Duration> wantedSince, Duration lastProposedAt) {

  /** How long a change has to be wanted. */
  static final Duration QUIET_PERIOD = Duration.ofSeconds(1);

  /** How long a change waits for others at most. */
  static final Duration MAX_WAIT = Duration.ofSeconds(5);

  /** Each proposal is written to most voters' disks; an unanswered one is repeated after this. */
  static final Duration MIN_PROPOSAL_INTERVAL = Duration.ofSeconds(2);

  /** A member of the view that the membership does not know is removed after this. */
  static final Duration UNKNOWN_MEMBER_TIMEOUT = Duration.ofSeconds(30);

  private static final Comparator<Member> MEMBER_ORDER =
      Comparator.comparing(Member::address).thenComparingLong(Member::incarnation);

  /**
   * Result of a step.
   *
   * @param next the state for the next step
   * @param change what is to be proposed now, if anything
   */
  record Step(ViewChangeBatcher next, Optional<Command.MembershipChange> change) {}

  ViewChangeBatcher {
    wantedSince = Map.copyOf(wantedSince);
  }

  /** Nothing is wanted, and a proposal may be made at once. */
  static ViewChangeBatcher initial(Duration now) {
    return new ViewChangeBatcher(Map.of(), now.minus(MIN_PROPOSAL_INTERVAL));
  }

  /**
   * Compares the view to the membership.
   *
   * @param view the agreed view
   * @param self this member, which is alive
   * @param others the states of all others
   */
  Step step(MembershipView view, Member self, Map<Member, MemberState> others, Duration now) {
    Map<Member, Duration> requiredWaits = requiredWaits(view, self, others);
    Map<Member, Duration> since = new HashMap<>();
    for (Member member : requiredWaits.keySet()) {
      since.put(member, wantedSince.getOrDefault(member, now));
    }
    List<Member> due = new ArrayList<>();
    boolean anotherPending = false;
    boolean overdue = false;
    for (Map.Entry<Member, Duration> required : requiredWaits.entrySet()) {
      Duration waited = now.minus(since.get(required.getKey()));
      if (waited.compareTo(required.getValue()) >= 0) {
        due.add(required.getKey());
        overdue |= waited.compareTo(MAX_WAIT) >= 0;
      } else {
        anotherPending |= required.getValue().equals(QUIET_PERIOD);
      }
    }
    boolean intervalOver = now.minus(lastProposedAt).compareTo(MIN_PROPOSAL_INTERVAL) >= 0;
    boolean waitsForOthers = anotherPending && !overdue;
    if (due.isEmpty() || waitsForOthers || !intervalOver) {
      return new Step(new ViewChangeBatcher(since, lastProposedAt), Optional.empty());
    }
    return new Step(new ViewChangeBatcher(since, now), Optional.of(toMembershipChange(view, due)));
  }

  /** Members to be added or removed, and how long each change has to be wanted. */
  private static Map<Member, Duration> requiredWaits(
      MembershipView view, Member self, Map<Member, MemberState> others) {
    List<Member> alive = aliveMembers(self, others);
    Map<Address, Member> latest = latestIncarnations(view.members(), alive);
    Map<Member, Duration> waits = new HashMap<>();
    for (Member member : alive) {
      if (latest.get(member.address()).equals(member) && !view.contains(member)) {
        waits.put(member, QUIET_PERIOD);
      }
    }
    for (Member member : view.members()) {
      MemberState state = others.get(member);
      boolean gone = state == MemberState.FAULTY || state == MemberState.LEFT;
      if (gone || !latest.get(member.address()).equals(member)) {
        waits.put(member, QUIET_PERIOD);
      } else if (state == null && !member.equals(self)) {
        waits.put(member, UNKNOWN_MEMBER_TIMEOUT);
      }
    }
    return waits;
  }

  private static List<Member> aliveMembers(Member self, Map<Member, MemberState> others) {
    List<Member> alive = new ArrayList<>();
    alive.add(self);
    others.forEach(
        (member, state) -> {
          if (state == MemberState.ALIVE) {
            alive.add(member);
          }
        });
    return alive;
  }

  private static Map<Address, Member> latestIncarnations(
      List<Member> viewMembers, List<Member> alive) {
    Map<Address, Member> latest = new HashMap<>();
    viewMembers.forEach(member -> latest.put(member.address(), member));
    for (Member member : alive) {
      latest.merge(
          member.address(),
          member,
          (first, second) -> first.incarnation() >= second.incarnation() ? first : second);
    }
    return latest;
  }

  private static Command.MembershipChange toMembershipChange(
      MembershipView view, List<Member> due) {
    List<Member> removed = due.stream().filter(view::contains).sorted(MEMBER_ORDER).toList();
    int freeSlots = ViewLimits.MAX_MEMBERS - view.members().size() + removed.size();
    List<Member> added =
        due.stream()
            .filter(member -> !view.contains(member))
            .sorted(MEMBER_ORDER)
            .limit(freeSlots)
            .toList();
    return new Command.MembershipChange(view.number(), removed, added);
  }
}
