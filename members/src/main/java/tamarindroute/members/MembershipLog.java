package tamarindroute.members;

import tamarindroute.log.Log;
import tamarindroute.membership.Action;
import tamarindroute.membership.LocalStatus;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;

/** Log lines of the membership for operators; docs/members.md explains them. */
final class MembershipLog {

  private static final String SELF_TOPIC = "members";
  private static final String MEMBER_TOPIC = "member";
  private static final String CONNECTIVITY_TOPIC = "connectivity";
  private static final String PROTOCOL_ERROR_TOPIC = "member-protocol-error";
  private static final String UNREACHABLE_TOPIC = "member-unreachable";

  private MembershipLog() {}

  static void listening(Object address, Member self) {
    Log.change(SELF_TOPIC, "listening on " + address + ", self " + self);
  }

  static void incarnationRaised(Action.IncarnationRaised raised) {
    Log.change(SELF_TOPIC, "self " + raised.self() + ", past a later incarnation known to others");
  }

  static void stateChanged(Action.StateChanged change) {
    Log.change(MEMBER_TOPIC, change.member() + " " + describe(change.state()));
  }

  static void statusChanged(Action.StatusChanged change) {
    Log.change(CONNECTIVITY_TOPIC, describe(change.status()));
  }

  static void protocolError(Exception error, Object from) {
    Log.infoWithFields(PROTOCOL_ERROR_TOPIC, error.getMessage(), "from", from);
  }

  static void unreachable(Exception error, Object to) {
    Log.infoWithFields(UNREACHABLE_TOPIC, error.getMessage(), "to", to);
  }

  private static String describe(MemberState state) {
    return switch (state) {
      case JOINING -> "joining";
      case ALIVE -> "alive";
      case SUSPECT -> "suspect";
      case FAULTY -> "faulty";
      case LEFT -> "left";
    };
  }

  private static String describe(LocalStatus status) {
    return switch (status.connectivity()) {
      case JOINING -> "joining";
      case CONNECTED -> "connected";
      case PAUSED -> "paused " + status.pausedFor().toMillis() + " ms";
      case ISOLATED -> "isolated";
      case LEFT -> "left";
    };
  }
}
