package tamarindroute.members;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The shares granted to the policies of one gateway, with their times by the monotonic clock. */
final class GrantHistory {

  /** A granted share; the even share holds after its end. */
  private record Grant(Duration appliedAt, double share, Duration validUntil) {}

  private final double evenShare;
  private final List<Grant> grants = new ArrayList<>();

  GrantHistory(double evenShare) {
    this.evenShare = evenShare;
  }

  synchronized void add(double share, Duration appliedAt, Duration validFor) {
    grants.add(new Grant(appliedAt, share, appliedAt.plus(validFor)));
  }

  /** The share in use at a moment; 0 before the first grant. */
  synchronized double shareAt(Duration moment) {
    return grants.stream()
        .filter(grant -> grant.appliedAt.compareTo(moment) <= 0)
        .reduce((earlier, later) -> later)
        .map(grant -> moment.compareTo(grant.validUntil) < 0 ? grant.share : evenShare)
        .orElse(0.0);
  }

  /** When a share above the given one was last in use; zero if never. */
  synchronized Duration lastUseAbove(double share) {
    Duration last = Duration.ZERO;
    for (int i = 0; i < grants.size(); i++) {
      Grant grant = grants.get(i);
      if (grant.share > share) {
        boolean isReplaced = i + 1 < grants.size();
        Duration replacedAt = isReplaced ? grants.get(i + 1).appliedAt : grant.validUntil;
        last = replacedAt.compareTo(grant.validUntil) < 0 ? replacedAt : grant.validUntil;
      }
    }
    return last;
  }

  /** Adds the moments at which the share in use may change. */
  synchronized void addMomentsTo(Collection<Duration> moments) {
    for (Grant grant : grants) {
      moments.add(grant.appliedAt);
      moments.add(grant.validUntil);
    }
  }
}
