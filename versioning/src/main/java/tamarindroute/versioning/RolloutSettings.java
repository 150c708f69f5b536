package tamarindroute.versioning;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * Durations that control a rollout.
 *
 * @param beforeTrial how long all peers must report support for the next fleet version before its
 *     trial starts
 * @param trial how long all peers must report support during the trial before the next fleet
 *     version is settled
 * @param maxSilence the longest time between two reports of a peer that still form one
 *     uninterrupted series. After a longer silence the series starts again, since the peer may have
 *     changed in between
 */
public record RolloutSettings(Duration beforeTrial, Duration trial, Duration maxSilence) {

  Duration longestDuration() {
    return Collections.max(List.of(beforeTrial, trial, maxSilence));
  }
}
