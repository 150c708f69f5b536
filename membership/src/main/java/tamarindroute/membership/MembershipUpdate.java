package tamarindroute.membership;

/**
 * What a member passes on about another. The incarnation is raised by whom it is about alone, to
 * refute a suspicion.
 *
 * @param observer who found it out by itself; the same observer counts once towards a cut
 */
public record MembershipUpdate(
    Member member, MemberState state, long refutation, Address observer) {}
