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
public final class Ledger {

  /** Members: the fleet that membership is made for. */
  public static final int MEMBERS_MOST = 5_000;

  /** Voters: more only make each agreement wait for more. */
  public static final int VOTERS_MOST = 7;

  /** Entries: a window and a level for each of a thousand caches, and as much again. */
  public static final int ENTRIES_MOST = 4_096;

  /** Bytes of one entry: a window of 1,000 caches by 12-byte names, and some. */
  public static final int VALUE_MOST = 16 * 1024;

  /**
   * Bytes of all entries: what a gateway of 32 MB can hold beside all else, twice over during a
   * change.
   */
  public static final int VALUES_MOST = 1024 * 1024;

  /**
   * Characters of a key, of a type, of a host: longer ones are no name, and the whole view stays
   * below 4 MiB.
   */
  public static final int NAME_MOST = 128;

  /**
   * @param refusal why the view stays as it is; empty where it is the next one
   */
  public record Step(View view, Optional<String> refusal) {

    static Step refused(View view, String reason) {
      return new Step(view, Optional.of(reason));
    }
  }

  private Ledger() {}

  public static Step apply(View view, Command command) {
    Optional<String> wrong = bounded(command);
    if (wrong.isPresent()) {
      return new Step(view, wrong);
    }
    if (command instanceof Command.Cut cut) {
      return cut(view, cut);
    }
    if (command instanceof Command.Put put) {
      return put(view, put);
    }
    if (command instanceof Command.Remove remove) {
      return remove(view, remove);
    }
    if (command instanceof Command.Voters voters) {
      return voters(view, voters);
    }
    return new Step(view, Optional.empty());
  }

  /** What is wrong with a command, whatever the view; asked ahead of proposing it, too. */
  public static Optional<String> bounded(Command command) {
    if (command instanceof Command.Cut cut) {
      boolean few = cut.out().size() + cut.in().size() <= 2 * MEMBERS_MOST;
      return few && named(cut.out()) && named(cut.in())
          ? Optional.empty()
          : Optional.of("cut past its bounds");
    }
    if (command instanceof Command.Put put) {
      boolean fits = named(put.key()) && named(put.type()) && put.value().length <= VALUE_MOST;
      return fits ? Optional.empty() : Optional.of("entry past its bounds");
    }
    if (command instanceof Command.Remove remove) {
      return named(remove.key()) ? Optional.empty() : Optional.of("key past its bounds");
    }
    if (command instanceof Command.Voters voters) {
      boolean few = !voters.voters().isEmpty() && voters.voters().size() <= VOTERS_MOST;
      return few && named(voters.voters())
          ? Optional.empty()
          : Optional.of("voters past their bounds");
    }
    return Optional.empty();
  }

  private static boolean named(String name) {
    return !name.isEmpty() && name.length() <= NAME_MOST;
  }

  private static boolean named(List<Member> members) {
    return members.stream()
        .allMatch(
            one ->
                named(one.address().host())
                    && one.address().port() >= 0
                    && one.address().port() <= 0xffff);
  }

  private static Step cut(View view, Command.Cut cut) {
    if (cut.from() != view.number()) {
      return Step.refused(view, "derived from view " + cut.from() + ", it is " + view.number());
    }
    if (cut.in().stream().anyMatch(cut.out()::contains)) {
      return Step.refused(view, "a member both out and in");
    }
    TreeSet<Member> members =
        new TreeSet<>(Comparator.comparing(Member::address).thenComparingLong(Member::birth));
    members.addAll(view.members());
    cut.out().forEach(members::remove);
    members.addAll(cut.in());
    if (members.size() > MEMBERS_MOST) {
      return Step.refused(view, "more than " + MEMBERS_MOST + " members");
    }
    if (members.stream().map(Member::address).distinct().count() < members.size()) {
      return Step.refused(view, "two lives at one address");
    }
    return next(view, new ArrayList<>(members), view.voters(), view.entries());
  }

  private static Step put(View view, Command.Put put) {
    Entry held = view.entries().get(put.key());
    boolean derived =
        held != null
            ? put.from() == held.changed()
            : put.from() >= view.removed() && put.from() <= view.number();
    if (!derived) {
      return Step.refused(
          view, put.key() + " derived from " + put.from() + ", it is of " + view.from(put.key()));
    }
    SortedMap<String, Entry> entries = new TreeMap<>(view.entries());
    entries.put(put.key(), new Entry(put.type(), put.value(), view.number() + 1));
    if (entries.size() > ENTRIES_MOST) {
      return Step.refused(view, "more than " + ENTRIES_MOST + " entries");
    }
    if (entries.values().stream().mapToInt(Entry::size).sum() > VALUES_MOST) {
      return Step.refused(view, "entries of more than " + VALUES_MOST + " bytes");
    }
    return next(view, view.members(), view.voters(), entries);
  }

  private static Step remove(View view, Command.Remove remove) {
    Entry held = view.entries().get(remove.key());
    if (held == null || remove.from() != held.changed()) {
      return Step.refused(
          view,
          remove.key()
              + " derived from "
              + remove.from()
              + ", it is of "
              + view.from(remove.key()));
    }
    SortedMap<String, Entry> entries = new TreeMap<>(view.entries());
    entries.remove(remove.key());
    View next = next(view, view.members(), view.voters(), entries).view();
    return new Step(
        new View(
            next.group(),
            next.number(),
            next.number(),
            next.members(),
            next.voters(),
            next.entries()),
        Optional.empty());
  }

  private static Step voters(View view, Command.Voters voters) {
    if (voters.from() != view.number()) {
      return Step.refused(view, "derived from view " + voters.from() + ", it is " + view.number());
    }
    return next(view, view.members(), voters.voters(), view.entries());
  }

  private static Step next(
      View view, List<Member> members, List<Member> voters, SortedMap<String, Entry> entries) {
    return new Step(
        new View(view.group(), view.number() + 1, view.removed(), members, voters, entries),
        Optional.empty());
  }
}
