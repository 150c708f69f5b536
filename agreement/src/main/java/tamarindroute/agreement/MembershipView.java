package tamarindroute.agreement;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tamarindroute.membership.Member;

/**
 * One version of the membership view that the voters agree on. Each command that changes the view
 * raises the view's number by one. Immutable.
 *
 * @param groupId identifier of the voter group, derived from its founders; views of different
 *     groups are not comparable
 * @param number number of this view within its group; 0 before the first change
 * @param lastRemovalNumber number of the view that last removed an entry; 0 if none was removed. A
 *     put of an absent key must be derived from that view or a later one. Otherwise a delayed
 *     duplicate of an old proposal could restore a removed entry
 * @param members members, in {@link #MEMBER_ORDER}
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

  /** Order of the members in a view: by address, then by incarnation. */
  public static final Comparator<Member> MEMBER_ORDER =
      Comparator.comparing(Member::address).thenComparingLong(Member::incarnation);

  /** Creates a view with copies of the collections. */
  public MembershipView {
    members = List.copyOf(members);
    voters = List.copyOf(voters);
    entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
  }

  /** Returns the empty view that a group starts from. */
  public static MembershipView initial(long groupId) {
    return new MembershipView(groupId, 0, 0, List.of(), List.of(), new TreeMap<>());
  }

  /**
   * Returns the base number for a command that changes the entry of a key: the number of the view
   * that last changed the entry, or this view's number if there is no such entry.
   */
  public long baseNumber(String key) {
    ReplicatedEntry entry = entries.get(key);
    return entry == null ? number : entry.lastChangedNumber();
  }

  /** Returns whether a member is in the view with the same address and incarnation. */
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
