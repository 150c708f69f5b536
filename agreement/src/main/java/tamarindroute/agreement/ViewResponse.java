package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Member;

/**
 * What a voter says to whoever asks for the view.
 *
 * @param requestNumber of the asking
 * @param fromLeader whether the voter leads, as most voters told it after it was asked; else
 *     nothing else but the leader counts
 * @param leader whom to ask instead, as far as known
 * @param lease for how long the view may be held, from the asking
 * @param fullView the view; empty where the commands lead there from what the asker holds
 */
public record ViewResponse(
    long requestNumber,
    boolean fromLeader,
    Optional<Member> leader,
    Duration lease,
    long groupId,
    Optional<MembershipView> fullView,
    List<Command> commands) {

  public ViewResponse {
    commands = List.copyOf(commands);
  }

  /** Not led by whom was asked. */
  public static ViewResponse notLeader(long number, Optional<Member> leader) {
    return new ViewResponse(number, false, leader, Duration.ZERO, 0, Optional.empty(), List.of());
  }
}
