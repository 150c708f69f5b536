package tamarindroute.membership;

/**
 * Result of a step that the caller has to act on. The actions of one step have to be performed in
 * the order of the list.
 */
public sealed interface Action {

  /**
   * Send a message as a datagram. The protocol tolerates its loss.
   *
   * @param to address of the receiver
   * @param message message to encode and send
   */
  record Send(Address to, Message message) implements Action {}

  /**
   * The state of another member has changed in the local member table.
   *
   * @param member the member whose state changed, never the local one
   * @param state the new state
   */
  record StateChanged(Member member, MemberState state) implements Action {}

  /**
   * The connectivity of the local member has changed.
   *
   * @param status the new status
   */
  record StatusChanged(LocalStatus status) implements Action {}

  /**
   * The incarnation of the local member was raised, because other members remember a later one at
   * its address. The other members ignore messages of the previous incarnation from now on.
   *
   * @param self the local member with its new incarnation
   */
  record IncarnationRaised(Member self) implements Action {}
}
