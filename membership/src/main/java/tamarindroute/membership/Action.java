package tamarindroute.membership;

/** What the caller has to do after a step; the actions of a step are performed in their order. */
public sealed interface Action {

  /**
   * Send a message; it may be lost.
   *
   * @param to the receiver's address
   * @param message what to send
   */
  record Send(Address to, Message message) implements Action {}

  /**
   * The state of another member has changed in the local table.
   *
   * @param member the other member
   * @param state its new state
   */
  record StateChanged(Member member, MemberState state) implements Action {}

  /**
   * The own connectivity has changed.
   *
   * @param status the new one
   */
  record StatusChanged(LocalStatus status) implements Action {}

  /**
   * The own incarnation was raised, because others remember a later one at this address.
   *
   * @param self this member from now on
   */
  record IncarnationRaised(Member self) implements Action {}
}
