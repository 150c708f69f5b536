package tamarindroute.membership;

import java.time.Duration;
import java.util.List;

/**
 * Membership that runs at a simulated node, possibly wrapped by a seeded defect that changes its
 * input.
 */
interface SystemUnderTest {
  /** Handles a message at the given time of the node's clock. */
  List<Action> onMessage(Message message, Duration now);

  /** Runs the tasks that are due at the given time of the node's clock. */
  List<Action> tick(Duration now);

  /** Returns the wrapped membership. */
  Membership membership();

  /** Returns a membership without a defect. */
  static SystemUnderTest of(Membership membership) {
    return new SystemUnderTest() {
      @Override
      public List<Action> onMessage(Message message, Duration now) {
        return membership.onMessage(message, now);
      }

      @Override
      public List<Action> tick(Duration now) {
        return membership.tick(now);
      }

      @Override
      public Membership membership() {
        return membership;
      }
    };
  }
}
