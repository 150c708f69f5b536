package tamarindroute.agreement;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tamarindroute.membership.Member;

/**
 * One state of the agreed view. Each command that changes the view raises its number by one.
 * Immutable.
 *
 * @param groupId identifies the voter group; views of different groups are not comparable
 * @param number number of this view within its group; 0 before the first change
 * @param lastRemovalNumber number of the view that last removed an entry. A put of an absent key
 *     must be derived from this view or a later one; otherwise a delayed duplicate of an old
 *     proposal could restore a removed entry
 * @param members members, ordered by address
 * @param voters voting members as last recorded by the leader
 * @param entries replicated entries by key
 */
public record MembershipView(
    long groupId,
    long number,
    long lastRemovalNumber,
    List<Member> members,
    List<Member> voters,
    SortedMap<String, ReplicatedEntry> entries) {

  /** Order of the members in a view. */
  public static final Comparator<Member> MEMBER_ORDER =
      Comparator.comparing(Member::address).thenComparingLong(Member::incarnation);

  /** Copies the collections. */
  public MembershipView {
    members = List.copyOf(members);
    voters = List.copyOf(voters);
    entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
  }

  /** Returns the empty view that a group starts from. */
  public static MembershipView initial(long groupId) {
    return new MembershipView(groupId, 0, 0, List.of(), List.of(), new TreeMap<>());
  }

  /** Returns the base number that a command changing the entry of this key has to name. */
  public long baseNumber(String key) {
    ReplicatedEntry entry = entries.get(key);
    return entry == null ? number : entry.lastChangedNumber();
  }

  /** Returns whether this incarnation is a member. */
  public boolean contains(Member member) {
    return members.contains(member);
  }

  @Override
  public String toString() {
    return "view "
        + number
        + " with "
        + members.size()
        + " members, voters "
        + voters
        + ", "
        + entries.size()
        + " entries";
  }
}
