package tamarindroute.membership;

/**
 * State of one member in the view of an observer, disseminated by gossip and state exchange.
 *
 * @param member the member that the update describes
 * @param state the member's state in the view of the observer
 * @param refutation counter from 0 that only the described member raises, to refute a suspicion. An
 *     update with a greater one takes precedence over every state but {@link MemberState#LEFT}.
 * @param observer address of the member that observed the state itself. Each observer counts once
 *     towards the reports that declare a member faulty.
 */
public record MembershipUpdate(
    Member member, MemberState state, long refutation, Address observer) {}
