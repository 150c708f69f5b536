package tamarindroute.members.shares;

import java.time.Duration;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.host.MonotonicClock;

/**
 * Owns until when this voter surely leads. Its library's word that it leads may be old. A reading
 * under most voters' word proves that it led at some moment after the reading was asked for; it
 * takes the lead for its own for a told time from the asking, as any leader before it did. So a new
 * one waits for that time from its first proof on, and no two leads overlap, whatever was cut,
 * stopped or started anew: no voter helps to prove a term once it has voted in a later one. It
 * rests on clocks alike to one part in a hundred and on nothing else.
 */
public final class LeaderLease {

  /** From a reading; asked anew each third of it, as the shares' leases are. */
  public static final Duration DURATION = Duration.ofSeconds(3);

  private static final Duration CLOCK_DRIFT = DURATION.dividedBy(100);

  private final LeaderStatus leaderStatus;
  private long term;
  private Duration confirmedSince;
  private Duration lastReadAt = DURATION.negated();

  public LeaderLease(LeaderStatus leaderStatus) {
    this.leaderStatus = leaderStatus;
  }

  /** To be called some times a second; empty where this one has no vote. */
  public void tick(Optional<Agreement> localAgreement) {
    Duration now = MonotonicClock.now();
    if (localAgreement.isEmpty() || !localAgreement.get().status().isLeader()) {
      leaderStatus.onLeadershipLost();
    } else if (now.compareTo(lastReadAt.plus(DURATION.dividedBy(3))) >= 0) {
      lastReadAt = now;
      Agreement agreement = localAgreement.get();
      long readTerm = agreement.term();
      agreement.read(
          view -> {
            if (view.isPresent() && agreement.term() == readTerm) {
              confirm(readTerm, now, MonotonicClock.now())
                  .ifPresent(expiresAt -> leaderStatus.onLeadership(readTerm, expiresAt));
            }
          });
    }
  }

  /**
   * Of a reading in one term from its asking to its answer; until when the lead is this one's, if
   * it is yet.
   */
  Optional<Duration> confirm(long readTerm, Duration requestedAt, Duration now) {
    if (readTerm < term) {
      return Optional.empty();
    }
    if (confirmedSince == null || readTerm > term) {
      term = readTerm;
      confirmedSince = now;
    }
    return requestedAt.compareTo(confirmedSince.plus(DURATION).plus(CLOCK_DRIFT)) < 0
        ? Optional.empty()
        : Optional.of(requestedAt.plus(DURATION).minus(CLOCK_DRIFT));
  }
}
