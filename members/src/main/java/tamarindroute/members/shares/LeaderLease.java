package tamarindroute.members.shares;

import java.time.Duration;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.host.MonotonicClock;

/**
 * Lease of the leadership, so that no two voters regard themselves as the leader at a time.
 *
 * <p>A quorum read proves that this voter led at some moment after it was requested. The lease
 * lasts for {@link #DURATION} from the request, and a new leader waits for as long after the first
 * proof of its term: by then the lease of any former leader is over, as no voter helps to prove a
 * term after it voted in a later one. The only assumption is that clocks differ by at most one part
 * in a hundred.
 */
public final class LeaderLease {

  /** Duration of the lease from the request of a read. */
  public static final Duration DURATION = Duration.ofSeconds(3);

  private static final int DRIFT_DIVISOR = 100;
  private static final Duration CLOCK_DRIFT = DURATION.dividedBy(DRIFT_DIVISOR);
  private static final int READS_PER_LEASE = 3;

  private final LeaderStatus leaderStatus;
  private long term;

  /** When the term was first proven; null before the first term. */
  private Duration confirmedSince;

  private Duration lastReadAt = DURATION.negated();

  /**
   * Creates a lease that is not held.
   *
   * @param leaderStatus told of each renewal and of the loss
   */
  public LeaderLease(LeaderStatus leaderStatus) {
    this.leaderStatus = leaderStatus;
  }

  /**
   * Renews the lease if it is time to; to be called several times a second.
   *
   * @param localAgreement empty if this member does not vote
   */
  public void tick(Optional<Agreement> localAgreement) {
    Duration now = MonotonicClock.now();
    if (localAgreement.isEmpty() || !localAgreement.get().status().isLeader()) {
      leaderStatus.onLeadershipLost();
    } else if (now.compareTo(lastReadAt.plus(DURATION.dividedBy(READS_PER_LEASE))) >= 0) {
      lastReadAt = now;
      read(localAgreement.get(), now);
    }
  }

  private void read(Agreement agreement, Duration requestedAt) {
    long readTerm = agreement.term();
    agreement.read(
        view -> {
          if (view.isPresent() && agreement.term() == readTerm) {
            confirm(readTerm, requestedAt, MonotonicClock.now())
                .ifPresent(expiresAt -> leaderStatus.onLeadership(readTerm, expiresAt));
          }
        });
  }

  /**
   * Evaluates a successful read.
   *
   * @param readTerm the term at its request and at its answer
   * @return the end of the lease, or empty if a former leader may still hold its own
   */
  Optional<Duration> confirm(long readTerm, Duration requestedAt, Duration now) {
    if (readTerm < term) {
      return Optional.empty();
    }
    if (confirmedSince == null || readTerm > term) {
      term = readTerm;
      confirmedSince = now;
    }
    Duration formerLeaseEnd = confirmedSince.plus(DURATION).plus(CLOCK_DRIFT);
    if (requestedAt.compareTo(formerLeaseEnd) < 0) {
      return Optional.empty();
    }
    return Optional.of(requestedAt.plus(DURATION).minus(CLOCK_DRIFT));
  }
}
