package tamarindroute.host;

import java.time.Duration;
import tamarindroute.protocol.MalformedMessageException;

/**
 * The numbers of the control feed's events: decides which event is applied next, requests missing
 * ones again, and notices when the feed restarts its numbering. Events may also be replicated from
 * another gateway's feed, which can be ahead of this one's.
 */
final class FeedSequence {

  /**
   * How long this gateway's feed may lag behind a replicated event before its lower numbers mean a
   * restart.
   */
  private static final Duration REPLICATED_EVENT_GRACE = Duration.ofSeconds(10);

  /** Requests for missing events: first those after the last one applied, then all. */
  private static final int MAX_GAP_RETRIES = 2;

  private long lastApplied;
  private long lastFromFeed;
  private Duration lastReplicatedAt;
  private int gapRetries;
  private long numberAfterGap;

  /** The number of the last event applied; 0 to start from the first. */
  long lastApplied() {
    return lastApplied;
  }

  /**
   * Checks the newest number of a response of the feed.
   *
   * @throws MalformedMessageException if the numbers went back: the feed restarted its numbering,
   *     or an earlier response was wrong. All events are requested again.
   */
  void checkNewest(long newest) throws MalformedMessageException {
    if (newest < lastApplied && !lagsBehindReplicatedEvents(newest)) {
      long before = lastApplied;
      lastApplied = 0;
      throw new MalformedMessageException(
          "event numbers went back from " + before + " to " + newest);
    }
  }

  private boolean lagsBehindReplicatedEvents(long newest) {
    return lastReplicatedAt != null
        && newest >= lastFromFeed
        && MonotonicClock.now().minus(lastReplicatedAt).compareTo(REPLICATED_EVENT_GRACE) < 0;
  }

  /** Whether this is the event after the last one applied. */
  boolean isNext(long number) {
    return number == lastApplied + 1;
  }

  /**
   * Whether the event is to be applied; false if it was applied already.
   *
   * @throws MalformedMessageException if events before it are missing and worth another request,
   *     since they may say that a cache drains: once those after the last one applied, then all.
   *     What is missing still is skipped.
   */
  boolean accepts(long number) throws MalformedMessageException {
    if (number <= lastApplied) {
      return false;
    }
    if (!isNext(number)) {
      retryGap(number);
    }
    return true;
  }

  /**
   * Retries are counted by the event after the gap: events before the gap that come again don't
   * restart the count.
   */
  private void retryGap(long number) throws MalformedMessageException {
    gapRetries = number == numberAfterGap ? gapRetries + 1 : 1;
    numberAfterGap = number;
    if (gapRetries > MAX_GAP_RETRIES) {
      return;
    }
    long before = lastApplied;
    if (gapRetries == MAX_GAP_RETRIES) {
      lastApplied = 0;
    }
    throw new MalformedMessageException(
        "events between " + before + " and " + number + " are missing");
  }

  /** Notes that the event was applied, or skipped as malformed. */
  void onApplied(long number) {
    lastApplied = number;
  }

  /** Notes that a response of the feed with this newest number was applied. */
  void onFeedRead(long newest) {
    lastFromFeed = Math.min(lastApplied, newest);
  }

  /** Notes that a replicated event was applied. */
  void onReplicated() {
    lastReplicatedAt = MonotonicClock.now();
  }
}
