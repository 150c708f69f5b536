package tamarindroute.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Applies commands to views, within {@link ViewLimits}. The functions are pure and deterministic:
 * every voter and every member that applies the same commands computes the same view.
 */
public final class ViewTransitions {

  /**
   * Result of applying a command.
   *
   * @param view the next view, or the unchanged one if the command was rejected
   * @param rejection why the command was rejected; empty if it was applied
   */
  public record Transition(MembershipView view, Optional<String> rejection) {

    static Transition applied(MembershipView view) {
      return new Transition(view, Optional.empty());
    }

    static Transition rejected(MembershipView view, String reason) {
      return new Transition(view, Optional.of(reason));
    }
  }

  private ViewTransitions() {}

  /**
   * Applies a command to a view. A command is rejected if it violates a limit or was derived from
   * an outdated state.
   */
  public static Transition apply(MembershipView view, Command command) {
    Optional<String> violation = ViewLimits.findViolation(command);
    if (violation.isPresent()) {
      return new Transition(view, violation);
    }
    if (command instanceof Command.MembershipChange change) {
      return changeMembers(view, change);
    }
    if (command instanceof Command.Put put) {
      return put(view, put);
    }
    if (command instanceof Command.Remove remove) {
      return remove(view, remove);
    }
    if (command instanceof Command.SetVoters setVoters) {
      return setVoters(view, setVoters);
    }
    return Transition.applied(view);
  }

  private static Transition changeMembers(MembershipView view, Command.MembershipChange change) {
    if (change.baseNumber() != view.number()) {
      return outdated(view, "membership change", change.baseNumber(), view.number());
    }
    Optional<Member> removedAndAdded =
        change.added().stream().filter(change.removed()::contains).findFirst();
    if (removedAndAdded.isPresent()) {
      return Transition.rejected(
          view, "member " + removedAndAdded.get() + " is both removed and added, one allowed");
    }
    TreeSet<Member> members = new TreeSet<>(MembershipView.MEMBER_ORDER);
    members.addAll(view.members());
    change.removed().forEach(members::remove);
    members.addAll(change.added());
    if (members.size() > ViewLimits.MAX_MEMBERS) {
      return Transition.rejected(
          view, members.size() + " members, at most " + ViewLimits.MAX_MEMBERS + " allowed");
    }
    if (members.stream().map(Member::address).distinct().count() < members.size()) {
      return Transition.rejected(
          view, "two incarnations at address " + firstSharedAddress(members) + ", one allowed");
    }
    return nextView(view, new ArrayList<>(members), view.voters(), view.entries());
  }

  /** Returns the first address of two members. Requires that there is one. */
  private static Address firstSharedAddress(Collection<Member> members) {
    Set<Address> seen = new HashSet<>();
    return members.stream()
        .map(Member::address)
        .filter(address -> !seen.add(address))
        .findFirst()
        .orElseThrow();
  }

  private static Transition put(MembershipView view, Command.Put put) {
    ReplicatedEntry current = view.entries().get(put.key());
    boolean upToDate =
        current != null
            ? put.baseNumber() == current.lastChangedNumber()
            : put.baseNumber() >= view.lastRemovalNumber() && put.baseNumber() <= view.number();
    if (!upToDate) {
      return current != null
          ? outdated(view, "put of " + put.key(), put.baseNumber(), current.lastChangedNumber())
          : Transition.rejected(
              view,
              "put of absent key "
                  + put.key()
                  + " has base number "
                  + put.baseNumber()
                  + ", expected "
                  + view.lastRemovalNumber()
                  + " to "
                  + view.number());
    }
    SortedMap<String, ReplicatedEntry> entries = new TreeMap<>(view.entries());
    entries.put(put.key(), new ReplicatedEntry(put.type(), put.value(), view.number() + 1));
    if (entries.size() > ViewLimits.MAX_ENTRIES) {
      return Transition.rejected(
          view, entries.size() + " entries, at most " + ViewLimits.MAX_ENTRIES + " allowed");
    }
    int totalBytes = entries.values().stream().mapToInt(ReplicatedEntry::size).sum();
    if (totalBytes > ViewLimits.MAX_TOTAL_VALUE_BYTES) {
      return Transition.rejected(
          view,
          "entries of "
              + totalBytes
              + " bytes, at most "
              + ViewLimits.MAX_TOTAL_VALUE_BYTES
              + " allowed");
    }
    return nextView(view, view.members(), view.voters(), entries);
  }

  private static Transition remove(MembershipView view, Command.Remove remove) {
    ReplicatedEntry current = view.entries().get(remove.key());
    if (current == null) {
      return Transition.rejected(
          view, "removal of " + remove.key() + ", but view " + view.number() + " has no such key");
    }
    if (remove.baseNumber() != current.lastChangedNumber()) {
      return outdated(
          view, "removal of " + remove.key(), remove.baseNumber(), current.lastChangedNumber());
    }
    SortedMap<String, ReplicatedEntry> entries = new TreeMap<>(view.entries());
    entries.remove(remove.key());
    long number = view.number() + 1;
    return Transition.applied(
        new MembershipView(view.groupId(), number, number, view.members(), view.voters(), entries));
  }

  private static Transition setVoters(MembershipView view, Command.SetVoters setVoters) {
    if (setVoters.baseNumber() != view.number()) {
      return outdated(view, "list of voters", setVoters.baseNumber(), view.number());
    }
    return nextView(view, view.members(), setVoters.voters(), view.entries());
  }

  private static Transition outdated(
      MembershipView view, String commandDescription, long baseNumber, long expectedNumber) {
    return Transition.rejected(
        view,
        commandDescription + " has base number " + baseNumber + ", expected " + expectedNumber);
  }

  private static Transition nextView(
      MembershipView view,
      List<Member> members,
      List<Member> voters,
      SortedMap<String, ReplicatedEntry> entries) {
    return Transition.applied(
        new MembershipView(
            view.groupId(), view.number() + 1, view.lastRemovalNumber(), members, voters, entries));
  }
}
