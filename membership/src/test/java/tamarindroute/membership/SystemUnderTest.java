package tamarindroute.membership;

import java.time.Duration;
import java.util.List;

/** What runs at a node; a seeded defect wraps a membership and changes its input. */
interface SystemUnderTest {
  List<Action> onMessage(Message message, Duration now);

  List<Action> tick(Duration now);

  Membership membership();

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
