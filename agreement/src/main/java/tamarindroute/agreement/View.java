package tamarindroute.agreement;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import tamarindroute.membership.Member;

/**
 * What is agreed, numbered: each command that changes it raises the number by one. Immutable.
 *
 * @param group of the voters' founding; views of two groups are never compared
 * @param members who is in, in order
 * @param voters who votes, as last told by the group itself
 * @param entries of the subsystems, by key
 */
public record View(long group, long number, List<Member> members, List<Member> voters, Map<String, Entry> entries) {

    public View {
        members = List.copyOf(members);
        voters = List.copyOf(voters);
        entries = Collections.unmodifiableMap(new TreeMap<>(entries));
    }

    /** Before anything was agreed. */
    public static View first(long group) {
        return new View(group, 0, List.of(), List.of(), Map.of());
    }

    public boolean has(Member member) {
        return members.contains(member);
    }

    @Override
    public String toString() {
        return "view " + number + " of " + members.size() + " members, voters " + voters + ", " + entries.size()
                + " entries";
    }
}
