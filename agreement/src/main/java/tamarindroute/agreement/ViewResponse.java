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
 *     arrived. If false, only {@code leader} is meaningful
 * @param leader the leader to ask instead, if known
 * @param lease how long the view may be used, counted from the sending of the request
 * @param groupId the group that the view belongs to
 * @param fullView the full view; empty if {@code commands} lead there from the requester's view
 * @param commands commands to apply to the requester's view, in order
 */
public record ViewResponse(
    long requestNumber,
    boolean fromLeader,
    Optional<Member> leader,
    Duration lease,
    long groupId,
    Optional<MembershipView> fullView,
    List<Command> commands) {

  /** Copies the commands. */
  public ViewResponse {
    commands = List.copyOf(commands);
  }

  /** Returns the response of a voter that is not the leader. */
  public static ViewResponse notLeader(long requestNumber, Optional<Member> leader) {
    return new ViewResponse(
        requestNumber, false, leader, Duration.ZERO, 0, Optional.empty(), List.of());
  }
}
