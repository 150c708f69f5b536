package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.log.Log;
import tamarindroute.membership.Member;

/** Log lines of the agreed view for operators; docs/members.md explains them. */
final class AgreedViewLog {

  private static final String TOPIC = "agreed-view";

  private AgreedViewLog() {}

  /** One line about a view that may be acted on. */
  static String summary(MembershipView view, Optional<Member> leader) {
    return "view "
        + view.number()
        + ", "
        + view.members().size()
        + " members, leader "
        + leader.map(Member::toString).orElse("unknown");
  }

  static void viewChanged(String summary) {
    Log.change(TOPIC, summary);
  }

  static void noValidView(Duration since) {
    Log.change(
        TOPIC,
        "no valid view for " + since.toMillis() + " ms: the last one is not acted on any more");
  }

  static void votingStarted(Member voter, boolean emptyStore) {
    Log.change(TOPIC, "voting as " + voter + (emptyStore ? ", with an empty store" : ""));
  }

  static void votingStopped(String reason) {
    Log.change(TOPIC, "stopped voting: " + reason);
  }

  static void votingFailed(Exception error) {
    Log.change(TOPIC, "can't vote: " + error.getMessage());
  }

  static void leadershipChanged(boolean leader) {
    Log.change(TOPIC, leader ? "became leader" : "not leader any more");
  }

  static void votersChanged(List<Member> voters) {
    Log.change(TOPIC, "voters " + voters);
  }

  static void quorumLost(Duration lostFor) {
    Log.change(TOPIC, "no quorum for " + lostFor.toMillis() + " ms: the view can't change");
  }

  static void quorumRestored() {
    Log.change(TOPIC, "quorum restored");
  }

  static void changeRejected(Command.MembershipChange change, String reason) {
    Log.change(
        TOPIC,
        "change with "
            + change.removed().size()
            + " removed and "
            + change.added().size()
            + " added was rejected: "
            + reason);
  }

  static void closeFailed(Exception error) {
    Log.info(TOPIC, "the store can't be closed: " + error.getMessage());
  }
}
