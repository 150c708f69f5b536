package tamarindroute.members.shares;

import java.time.Duration;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.host.Steady;

/**
 * Owns until when this voter surely leads. Its library's word that it leads may be old. A reading
 * under most voters' word proves that it led at some moment after the reading was asked for; it
 * takes the lead for its own for a told time from the asking, as any leader before it did. So a new
 * one waits for that time from its first proof on, and no two leads overlap, whatever was cut,
 * stopped or started anew: no voter helps to prove a term once it has voted in a later one. It
 * rests on clocks alike to one part in a hundred and on nothing else.
 */
public final class Leading {

  /** From a reading; asked anew each third of it, as the shares' leases are. */
  public static final Duration LENGTH = Duration.ofSeconds(3);

  private static final Duration DRIFT = LENGTH.dividedBy(100);

  private final Lead lead;
  private long term;
  private Duration since;
  private Duration asked = LENGTH.negated();

  public Leading(Lead lead) {
    this.lead = lead;
  }

  /** To be called some times a second; empty where this one has no vote. */
  public void tick(Optional<Agreement> voting) {
    Duration now = Steady.now();
    if (voting.isEmpty() || !voting.get().state().leads()) {
      lead.leadsNoMore();
    } else if (now.compareTo(asked.plus(LENGTH.dividedBy(3))) >= 0) {
      asked = now;
      Agreement agreement = voting.get();
      long at = agreement.term();
      agreement.read(
          view -> {
            if (view.isPresent() && agreement.term() == at) {
              proven(at, now, Steady.now()).ifPresent(until -> lead.leads(at, until));
            }
          });
    }
  }

  /**
   * Of a reading in one term from its asking to its answer; until when the lead is this one's, if
   * it is yet.
   */
  Optional<Duration> proven(long inTerm, Duration sent, Duration now) {
    if (inTerm < term) {
      return Optional.empty();
    }
    if (since == null || inTerm > term) {
      term = inTerm;
      since = now;
    }
    return sent.compareTo(since.plus(LENGTH).plus(DRIFT)) < 0
        ? Optional.empty()
        : Optional.of(sent.plus(LENGTH).minus(DRIFT));
  }
}
