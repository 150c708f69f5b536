package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Member;

/**
 * A voter's response to a request for the view.
 *
 * @param requestNumber number of the request
 * @param fromLeader whether the voter was the leader, confirmed by a quorum after the request
 *     arrived. If false, only {@code requestNumber} and {@code leader} are meaningful
 * @param leader the responding leader itself, or the voter to send the next request to; empty if no
 *     leader is known
 * @param lease how long the view may be used, counted from the time at which the request was sent
 * @param groupId identifier of the group that the view belongs to
 * @param fullView the full view; empty if {@code commands} lead from the requester's view to it
 * @param commands commands to apply to the requester's view, in order; empty if the requester's
 *     view is current or {@code fullView} is present
 */
public record ViewResponse(
    long requestNumber,
    boolean fromLeader,
    Optional<Member> leader,
    Duration lease,
    long groupId,
    Optional<MembershipView> fullView,
    List<Command> commands) {

  /** Creates a response with a copy of the commands. */
  public ViewResponse {
    commands = List.copyOf(commands);
  }

  /** Returns the response of a voter that is not the leader. */
  public static ViewResponse notLeader(long requestNumber, Optional<Member> leader) {
    return new ViewResponse(
        requestNumber, false, leader, Duration.ZERO, 0, Optional.empty(), List.of());
  }
}
