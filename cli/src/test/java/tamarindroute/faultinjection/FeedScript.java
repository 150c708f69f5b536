package tamarindroute.faultinjection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import tamarindroute.faultinjection.ScriptedFeed.Behavior;

/** Injects the faults of a scenario's control feed and publishes its events, as drawn at random. */
final class FeedScript {

  private final ScenarioContext context;
  private final ScriptedFeed feed;
  private final SplittableRandom random;
  private final Runnable onMoved;

  /** The caches that are neither draining nor gone, without the origin. */
  private final List<ScriptedCache> ready;

  private final int maxDrained;
  private int drained;
  private int listVersion = 1;

  /**
   * @param onMoved called after the feed moved to another port
   */
  FeedScript(
      ScenarioContext context, ScriptedFeed feed, List<ScriptedCache> caches, Runnable onMoved) {
    this.context = context;
    this.feed = feed;
    this.onMoved = onMoved;
    random = context.random("feed");
    ready =
        new ArrayList<>(
            caches.stream().filter(cache -> cache.kind != ScriptedCache.Kind.ORIGIN).toList());
    // Some caches have to remain.
    maxDrained = (caches.size() - 1) / 2;
  }

  /** Runs until the scenario is over. */
  void run() {
    List<Fault> active = context.faults.stream().filter(Fault.FEED_FAULTS::contains).toList();
    while (!context.finished && !active.isEmpty()) {
      Threads.sleep(random.nextInt(60, 500));
      if (!context.finished) {
        inject(active.get(random.nextInt(active.size())));
      }
    }
  }

  private void inject(Fault fault) {
    switch (fault) {
      case FEED_SILENT -> behaveFor(Behavior.SILENT, random.nextInt(300, 2500));
      case FEED_CLOSE -> {
        feed.behave(Behavior.CLOSE);
        feed.behave(Behavior.NORMAL);
      }
      case FEED_PARTIAL -> behaveFor(Behavior.PARTIAL, random.nextInt(100, 900));
      case FEED_GAP -> feed.behave(Behavior.GAP);
      case FEED_MOVE -> move();
      case DRAIN -> drainOne();
      case PURGE -> purge();
      case RESTART -> restartOne();
      default -> {}
    }
  }

  private void behaveFor(Behavior behavior, int millis) {
    feed.behave(behavior);
    context.schedule(millis, () -> feed.behave(Behavior.NORMAL));
  }

  private void move() {
    try {
      feed.move();
      context.journal.note("feed", EventField.PORT, feed.port());
      onMoved.run();
    } catch (IOException e) {
      context.journal.note("feed", EventField.ERROR, e.getMessage());
    }
  }

  private Journal.Entry created() {
    return context.journal.event(EventKind.FEED_EVENT_CREATED, "feed");
  }

  private void drainOne() {
    if (drained >= maxDrained) {
      return;
    }
    drained++;
    ScriptedCache cache = ready.remove(random.nextInt(ready.size()));
    publishDrain(cache, random.nextInt(4) == 0 ? "gone" : "draining");
    if (random.nextBoolean()) {
      context.schedule(random.nextInt(100, 1500), () -> publishDrain(cache, "gone"));
    }
  }

  private void publishDrain(ScriptedCache cache, String state) {
    feed.publish(
        endpointChange(cache, state, 0),
        created().with(EventField.DRAINED_CACHE, cache.id).with(EventField.STATE, state));
  }

  private void restartOne() {
    ScriptedCache cache = ready.get(random.nextInt(ready.size()));
    feed.publish(
        endpointChange(cache, "ready", System.currentTimeMillis()),
        created().with(EventField.RESTARTED_CACHE, cache.id));
  }

  private synchronized String endpointChange(
      ScriptedCache cache, String state, long startedMillis) {
    listVersion++;
    return FeedMessages.endpointChange(
        listVersion, FeedMessages.endpoint(cache, state, startedMillis));
  }

  private void purge() {
    String object = TestObjects.IDS.get(random.nextInt(TestObjects.IDS.size()));
    long purgedAt = System.currentTimeMillis();
    if (random.nextInt(3) > 0) {
      context.publishNewVersion(object);
      publishPurge(
          FeedMessages.objectPurge(object, purgedAt),
          created().with(EventField.OBJECT, object),
          purgedAt);
    } else {
      int group = TestObjects.purgeGroup(object);
      TestObjects.IDS.stream()
          .filter(id -> TestObjects.purgeGroup(id) == group)
          .forEach(context::publishNewVersion);
      publishPurge(
          FeedMessages.groupPurge(group, purgedAt),
          created().with(EventField.PURGE_GROUP, group),
          purgedAt);
    }
  }

  private void publishPurge(String text, Journal.Entry created, long purgedAt) {
    feed.publish(
        text,
        created
            .with(EventField.PURGED_AT_MS, purgedAt)
            .with(EventField.PURGE_AGE_MS, System.currentTimeMillis() - purgedAt));
  }
}
