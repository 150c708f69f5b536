package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Member;

/**
 * What a voter says to whoever asks for the view.
 *
 * @param number of the asking
 * @param led whether the voter leads, as most voters told it after it was asked; else nothing else
 *     but the leader counts
 * @param leader whom to ask instead, as far as known
 * @param lease for how long the view may be held, from the asking
 * @param whole the view; empty where the commands lead there from what the asker holds
 */
public record Answer(
    long number,
    boolean led,
    Optional<Member> leader,
    Duration lease,
    long group,
    Optional<View> whole,
    List<Command> since) {

  public Answer {
    since = List.copyOf(since);
  }

  /** Not led by whom was asked. */
  public static Answer elsewhere(long number, Optional<Member> leader) {
    return new Answer(number, false, leader, Duration.ZERO, 0, Optional.empty(), List.of());
  }
}
