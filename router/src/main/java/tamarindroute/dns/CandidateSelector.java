package tamarindroute.dns;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import tamarindroute.decision.CacheHealth;

/** Selects among candidates by health, room for load, and share of the location's answers. */
final class CandidateSelector {

  /** CPU utilization above which a cache's share falls; the routing policy's bound as well. */
  private static final double BUSY_CPU_UTILIZATION = 0.7;

  /** CPU utilization at which the hashed home is passed over for a cache that is not busy. */
  private static final double FULL_CPU_UTILIZATION = 0.95;

  /** Least part of its share that a busy cache keeps, lest the load swing to others and back. */
  private static final double MIN_SHARE_FACTOR = 0.2;

  private static final double MIN_WEIGHT = 1e-6;

  private final OutstandingLoad outstandingLoad;

  CandidateSelector(OutstandingLoad outstandingLoad) {
    this.outstandingLoad = outstandingLoad;
  }

  /** Returns whether a candidate is ready, not ejected, and has room for the load. */
  boolean isUsable(Candidate candidate, double load, Duration now) {
    return candidate.health().ready()
        && !candidate.health().ejected()
        && hasRoom(candidate, load, now);
  }

  /** A warm cache always has room; a cold one up to what its slow start allows. */
  private boolean hasRoom(Candidate candidate, double load, Duration now) {
    return !candidate.health().cold()
        || outstandingLoad.at(candidate.address(), now) + load
            <= candidate.health().maxConcurrentTransfers();
  }

  /** Returns the first by hashing, unless it is full and another is not busy. */
  static Candidate preferredHome(List<Candidate> usable) {
    Candidate home = usable.get(0);
    if (home.health().cpuUtilization() < FULL_CPU_UTILIZATION) {
      return home;
    }
    return usable.stream()
        .filter(candidate -> candidate.health().cpuUtilization() < BUSY_CPU_UTILIZATION)
        .findFirst()
        .orElse(home);
  }

  /** Returns the candidate with the least outstanding load for its share. */
  Candidate leastLoaded(List<Candidate> usable, double load, Duration now) {
    Candidate best = null;
    double lowestLoad = Double.POSITIVE_INFINITY;
    for (Candidate candidate : usable) {
      double loadPerShare =
          (outstandingLoad.at(candidate.address(), now) + load) / share(candidate.health());
      if (loadPerShare < lowestLoad) {
        lowestLoad = loadPerShare;
        best = candidate;
      }
    }
    return best;
  }

  private static double share(CacheHealth health) {
    double spareFactor = (1 - health.cpuUtilization()) / (1 - BUSY_CPU_UTILIZATION);
    return Math.max(MIN_WEIGHT, health.weight())
        * Math.max(MIN_SHARE_FACTOR, Math.min(1, spareFactor));
  }

  /** Returns the candidate with room whose outcomes speak least against it. */
  Optional<Candidate> leastSuspect(List<Candidate> ready, double load, Duration now) {
    return ready.stream()
        .filter(candidate -> hasRoom(candidate, load, now))
        .min(Comparator.comparingDouble(candidate -> candidate.health().failureEvidence()));
  }

  /**
   * Returns the first and the next best candidates, up to a number. Cold ones stand alone: clients
   * choose freely among several addresses, so a cold cache could get the load of all answers.
   */
  List<Candidate> withAlternatives(
      Candidate first, List<Candidate> usable, int maxCount, double load, Duration now) {
    List<Candidate> selected = new ArrayList<>(List.of(first));
    if (first.health().cold()) {
      return selected;
    }
    List<Candidate> remaining = new ArrayList<>(usable);
    remaining.removeIf(
        candidate -> candidate.cache().equals(first.cache()) || candidate.health().cold());
    while (selected.size() < maxCount && !remaining.isEmpty()) {
      Candidate next = leastLoaded(remaining, load, now);
      selected.add(next);
      remaining.remove(next);
    }
    return selected;
  }
}
