package tamarindroute.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.membership.Member;

/**
 * Owns the step from view and command to the next view, or why not. The same at every voter and
 * every member.
 */
public final class ViewTransitions {

  /** Members: the fleet that membership is made for. */
  public static final int MAX_MEMBERS = 5_000;

  /** Voters: more only make each agreement wait for more. */
  public static final int MAX_VOTERS = 7;

  /** Entries: a window and a level for each of a thousand caches, and as much again. */
  public static final int MAX_ENTRIES = 4_096;

  /** Bytes of one entry: a window of 1,000 caches by 12-byte names, and some. */
  public static final int MAX_VALUE_BYTES = 16 * 1024;

  /**
   * Bytes of all entries: what a gateway of 32 MB can hold beside all else, twice over during a
   * change.
   */
  public static final int MAX_TOTAL_VALUE_BYTES = 1024 * 1024;

  /**
   * Characters of a key, of a type, of a host: longer ones are no name, and the whole view stays
   * below 4 MiB.
   */
  public static final int MAX_NAME_LENGTH = 128;

  /**
   * @param rejection why the view stays as it is; empty where it is the next one
   */
  public record Transition(MembershipView view, Optional<String> rejection) {

    static Transition rejected(MembershipView view, String reason) {
      return new Transition(view, Optional.of(reason));
    }
  }

  private ViewTransitions() {}

  public static Transition apply(MembershipView view, Command command) {
    Optional<String> violation = findViolation(command);
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
    if (command instanceof Command.SetVoters voters) {
      return setVoters(view, voters);
    }
    return new Transition(view, Optional.empty());
  }

  /** What is wrong with a command, whatever the view; asked ahead of proposing it, too. */
  public static Optional<String> findViolation(Command command) {
    if (command instanceof Command.MembershipChange change) {
      boolean withinLimit = change.removed().size() + change.added().size() <= 2 * MAX_MEMBERS;
      return withinLimit && isValidName(change.removed()) && isValidName(change.added())
          ? Optional.empty()
          : Optional.of("cut past its bounds");
    }
    if (command instanceof Command.Put put) {
      boolean withinLimit =
          isValidName(put.key())
              && isValidName(put.type())
              && put.value().length <= MAX_VALUE_BYTES;
      return withinLimit ? Optional.empty() : Optional.of("entry past its bounds");
    }
    if (command instanceof Command.Remove remove) {
      return isValidName(remove.key()) ? Optional.empty() : Optional.of("key past its bounds");
    }
    if (command instanceof Command.SetVoters voters) {
      boolean withinLimit = !voters.voters().isEmpty() && voters.voters().size() <= MAX_VOTERS;
      return withinLimit && isValidName(voters.voters())
          ? Optional.empty()
          : Optional.of("voters past their bounds");
    }
    return Optional.empty();
  }

  private static boolean isValidName(String name) {
    return !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
  }

  private static boolean isValidName(List<Member> members) {
    return members.stream()
        .allMatch(
            one ->
                isValidName(one.address().host())
                    && one.address().port() >= 0
                    && one.address().port() <= 0xffff);
  }

  private static Transition changeMembers(MembershipView view, Command.MembershipChange change) {
    if (change.baseNumber() != view.number()) {
      return Transition.rejected(
          view, "derived from view " + change.baseNumber() + ", it is " + view.number());
    }
    if (change.added().stream().anyMatch(change.removed()::contains)) {
      return Transition.rejected(view, "a member both out and in");
    }
    TreeSet<Member> members =
        new TreeSet<>(Comparator.comparing(Member::address).thenComparingLong(Member::incarnation));
    members.addAll(view.members());
    change.removed().forEach(members::remove);
    members.addAll(change.added());
    if (members.size() > MAX_MEMBERS) {
      return Transition.rejected(view, "more than " + MAX_MEMBERS + " members");
    }
    if (members.stream().map(Member::address).distinct().count() < members.size()) {
      return Transition.rejected(view, "two lives at one address");
    }
    return nextView(view, new ArrayList<>(members), view.voters(), view.entries());
  }

  private static Transition put(MembershipView view, Command.Put put) {
    ReplicatedEntry current = view.entries().get(put.key());
    boolean upToDate =
        current != null
            ? put.baseNumber() == current.lastChangedNumber()
            : put.baseNumber() >= view.lastRemovalNumber() && put.baseNumber() <= view.number();
    if (!upToDate) {
      return Transition.rejected(
          view,
          put.key()
              + " derived from "
              + put.baseNumber()
              + ", it is of "
              + view.baseNumber(put.key()));
    }
    SortedMap<String, ReplicatedEntry> entries = new TreeMap<>(view.entries());
    entries.put(put.key(), new ReplicatedEntry(put.type(), put.value(), view.number() + 1));
    if (entries.size() > MAX_ENTRIES) {
      return Transition.rejected(view, "more than " + MAX_ENTRIES + " entries");
    }
    if (entries.values().stream().mapToInt(ReplicatedEntry::size).sum() > MAX_TOTAL_VALUE_BYTES) {
      return Transition.rejected(view, "entries of more than " + MAX_TOTAL_VALUE_BYTES + " bytes");
    }
    return nextView(view, view.members(), view.voters(), entries);
  }

  private static Transition remove(MembershipView view, Command.Remove remove) {
    ReplicatedEntry current = view.entries().get(remove.key());
    if (current == null || remove.baseNumber() != current.lastChangedNumber()) {
      return Transition.rejected(
          view,
          remove.key()
              + " derived from "
              + remove.baseNumber()
              + ", it is of "
              + view.baseNumber(remove.key()));
    }
    SortedMap<String, ReplicatedEntry> entries = new TreeMap<>(view.entries());
    entries.remove(remove.key());
    MembershipView next = nextView(view, view.members(), view.voters(), entries).view();
    return new Transition(
        new MembershipView(
            next.groupId(),
            next.number(),
            next.number(),
            next.members(),
            next.voters(),
            next.entries()),
        Optional.empty());
  }

  private static Transition setVoters(MembershipView view, Command.SetVoters voters) {
    if (voters.baseNumber() != view.number()) {
      return Transition.rejected(
          view, "derived from view " + voters.baseNumber() + ", it is " + view.number());
    }
    return nextView(view, view.members(), voters.voters(), view.entries());
  }

  private static Transition nextView(
      MembershipView view,
      List<Member> members,
      List<Member> voters,
      SortedMap<String, ReplicatedEntry> entries) {
    return new Transition(
        new MembershipView(
            view.groupId(), view.number() + 1, view.lastRemovalNumber(), members, voters, entries),
        Optional.empty());
  }
}
