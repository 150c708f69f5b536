package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;
import static tamarindroute.numeric.Seconds.toDuration;

import java.util.IdentityHashMap;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;

/**
 * Expected transfer times of requests by size or request class, and the values derived from them.
 * All times are in seconds.
 */
final class TransferTimes {

  private final PolicySettings settings;
  private final IdentityHashMap<RequestClass, ClassStatistics> statisticsByClass =
      new IdentityHashMap<>();

  TransferTimes(PolicySettings settings) {
    this.settings = settings;
  }

  private ClassStatistics statistics(Request request) {
    return statisticsByClass.computeIfAbsent(
        request.requestClass,
        requestClass -> new ClassStatistics(seconds(requestClass.latencyObjective())));
  }

  /** Whether the transfer time of the request can be computed from its size. */
  boolean isSizeKnown(Request request) {
    return request.kilobytes > 0 && settings.transferRateKbPerSecond() > 0;
  }

  /**
   * Returns the duration of the transfer on an idle cache: computed from the size if it is known,
   * otherwise the mean of the class.
   */
  double transferTime(Request request) {
    return isSizeKnown(request)
        ? request.kilobytes / settings.transferRateKbPerSecond()
        : classMean(request);
  }

  /** Returns the mean transfer time of the request's class. */
  double classMean(Request request) {
    return statistics(request).meanTransferTime();
  }

  /** Returns the time within which nine in ten hits of this size would end on an idle cache. */
  double upperTransferTime(Request request) {
    return statistics(request).scatter() * transferTime(request);
  }

  /** Returns the time of the latency objective, in seconds since the start of the instance. */
  double objectiveTime(Request request) {
    return seconds(request.latencyObjectiveTime(toDuration(transferTime(request))));
  }

  /**
   * Whether requests of this class and size are served so rarely that they are admitted even if
   * they miss the latency objective.
   */
  boolean isUnderserved(Request request) {
    return statistics(request).isUnderserved(transferTime(request));
  }

  /** Records the transfer time of a new request if its size is known. */
  void recordArrival(Request request) {
    if (isSizeKnown(request)) {
      statistics(request).recordTransfer(transferTime(request));
    }
  }

  /**
   * Records a hit.
   *
   * @param duration seconds, without the shortest wait that every hit has
   * @param expectedSlowdown the factor by which the hit was expected to take longer than on an idle
   *     cache
   */
  void recordHit(Request request, double duration, double expectedSlowdown) {
    statistics(request).recordHit(duration, transferTime(request) * expectedSlowdown);
    if (!isSizeKnown(request)) {
      statistics(request).recordTransfer(duration / expectedSlowdown);
    }
  }

  /** Records the end of a request and whether it was served. */
  void recordEnd(Request request, boolean served) {
    statistics(request).recordEnd(transferTime(request), served);
  }
}
