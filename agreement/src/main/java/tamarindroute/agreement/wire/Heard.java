package tamarindroute.agreement.wire;

import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Answer;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.proto.WRaft;
import tamarindroute.membership.Member;

/** A message that was read whole and is within its bounds. */
public sealed interface Heard {

  /** For a voter of a group, from another: the library's. */
  record OfLibrary(long group, Member to, WRaft message) implements Heard {}

  /** For a voter: the view, please; this is what I hold. */
  record Ask(long number, long heldGroup, long held) implements Heard {}

  /** For whoever asked. */
  record Answered(Answer answer) implements Heard {}

  /** For a voter: propose this. */
  record Proposal(long number, Command command) implements Heard {}

  /** For whoever proposed. */
  record Proposed(long number, Agreement.Outcome outcome) implements Heard {}

  /** For a voter, from another that is told: of the group's founding. */
  record Offered(Member self, List<Member> bound, boolean founded) implements Heard {}

  /** What there is in a message; empty if it is none or past its bounds. */
  static Optional<Heard> of(byte[] message) {
    return Words.heard(message);
  }
}
