package tamarindroute.membership;

/**
 * State of one member as passed on by another.
 *
 * @param member whom the update is about
 * @param state the member's state in the view of the observer
 * @param refutation counter that only the member itself raises, to refute a suspicion; a greater
 *     one takes precedence over every state but {@link MemberState#LEFT}
 * @param observer who found it out at first hand; each observer counts once
 */
public record MembershipUpdate(
    Member member, MemberState state, long refutation, Address observer) {}
