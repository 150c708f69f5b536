package tamarindroute.agreement;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tamarindroute.membership.Member;

/**
 * What is agreed, numbered: each command that changes it raises the number by one. Immutable.
 *
 * @param groupId of the voters' founding; views of two groups are never compared
 * @param lastRemovalNumber the number at which an entry was last taken out; one that is put where
 *     none was must be derived from this view or a later one, or a late double of an old proposal
 *     would bring back what was taken out
 * @param members who is in, in order
 * @param voters who votes, as last told by the group itself
 * @param entries of the subsystems, by key
 */
public record MembershipView(
    long groupId,
    long number,
    long lastRemovalNumber,
    List<Member> members,
    List<Member> voters,
    SortedMap<String, ReplicatedEntry> entries) {

  public MembershipView {
    members = List.copyOf(members);
    voters = List.copyOf(voters);
    entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
  }

  /** Before anything was agreed. */
  public static MembershipView initial(long group) {
    return new MembershipView(group, 0, 0, List.of(), List.of(), new TreeMap<>());
  }

  /** What a command that puts or removes this entry has to be derived from. */
  public long baseNumber(String key) {
    ReplicatedEntry entry = entries.get(key);
    return entry == null ? number : entry.lastChangedNumber();
  }

  public boolean contains(Member member) {
    return members.contains(member);
  }

  @Override
  public String toString() {
    return "view "
        + number
        + " of "
        + members.size()
        + " members, voters "
        + voters
        + ", "
        + entries.size()
        + " entries";
  }
}
