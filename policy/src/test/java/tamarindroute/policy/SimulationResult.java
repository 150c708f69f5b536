package tamarindroute.policy;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.function.Predicate;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;

/** The requests of a simulation and how each of them ended. */
final class SimulationResult {

  /** How a request ended. Only the first end counts. */
  enum Ending {
    /** Answered within its latency objective. */
    SERVED,
    /** Answered after its latency objective. */
    LATE,
    /** Rejected or failed after at least one attempt. */
    GIVEN_UP,
    /** Rejected or failed without an attempt. */
    REJECTED
  }

  private final List<SimulatedRequest> requests = new ArrayList<>();
  private final IdentityHashMap<SimulatedRequest, Ending> endings = new IdentityHashMap<>();

  private int attemptsInOtherCell;
  private int attemptsInSameCell;
  private int abandoned;

  void add(SimulatedRequest request) {
    requests.add(request);
  }

  /** Records the end of a request unless it has ended before. */
  void end(SimulatedRequest request, Ending ending) {
    endings.putIfAbsent(request, ending);
  }

  boolean hasEnded(SimulatedRequest request) {
    return endings.containsKey(request);
  }

  /** Ends a request that its gateway neither sent nor ended and would not decide on again. */
  void abandon(SimulatedRequest request) {
    abandoned++;
    end(request, Ending.GIVEN_UP);
  }

  int abandonedCount() {
    return abandoned;
  }

  /**
   * Compares the cell of an attempt with the cells of earlier attempts that may have been executed.
   */
  void countCell(Request request, Attempt attempt) {
    for (Attempt earlier : request.attempts) {
      if (earlier.outcome == null || !earlier.outcome.result().provesNotExecuted) {
        boolean sameCell = earlier.cache.cell == attempt.cache.cell;
        attemptsInSameCell += sameCell ? 1 : 0;
        attemptsInOtherCell += sameCell ? 0 : 1;
      }
    }
  }

  /**
   * Returns the number of further attempts in a cell other than that of an attempt that may have
   * been executed.
   */
  int attemptsInOtherCell() {
    return attemptsInOtherCell;
  }

  /**
   * Returns the number of further attempts in the cell of an attempt that may have been executed.
   */
  int attemptsInSameCell() {
    return attemptsInSameCell;
  }

  /** Returns the number of requests that never ended. */
  int openCount() {
    return requests.size() - endings.size();
  }

  private List<SimulatedRequest> arrived(
      double from, double to, Predicate<SimulatedRequest> condition) {
    return requests.stream()
        .filter(condition)
        .filter(request -> request.arrivalTime() >= from && request.arrivalTime() < to)
        .toList();
  }

  /**
   * Returns the value served in time as a share of the value of all requests that arrived in an
   * interval.
   */
  double served(double from, double to) {
    return served(from, to, request -> true);
  }

  /**
   * Returns the value served in time as a share of the value of all matching requests that arrived
   * in an interval.
   */
  double served(double from, double to, Predicate<SimulatedRequest> condition) {
    List<SimulatedRequest> arrived = arrived(from, to, condition);
    double served =
        arrived.stream()
            .filter(request -> endings.get(request) == Ending.SERVED)
            .mapToDouble(SimulatedRequest::value)
            .sum();
    return served / arrived.stream().mapToDouble(SimulatedRequest::value).sum();
  }

  /** Returns the share of requests with this ending among those that arrived in an interval. */
  double share(Ending ending, double from, double to) {
    int ended = arrived(from, to, request -> endings.get(request) == ending).size();
    return (double) ended / arrived(from, to, request -> true).size();
  }
}
