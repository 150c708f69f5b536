package tamarindroute.versioning;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * Times of a rollout.
 *
 * @param beforeTrial how long all peers must have reported support before the trial
 * @param trial how long they must report it during the trial
 * @param maxSilence a report that is not repeated within this time counts anew: the peer may have
 *     changed in between
 */
public record RolloutSettings(Duration beforeTrial, Duration trial, Duration maxSilence) {

  Duration longest() {
    return Collections.max(List.of(beforeTrial, trial, maxSilence));
  }
}
