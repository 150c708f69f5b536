package tamarindroute.nameserver;

import java.time.Duration;
import java.util.Map;
import tamarindroute.dns.QueryCounters;
import tamarindroute.dns.SteeringDecision;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;

/** Writes the counters to the log at an interval. */
final class CounterLog {

  private static final Duration INTERVAL = Duration.ofSeconds(60);

  private final Scheduler scheduler;
  private final QueryCounters counters;
  private final DatagramTransport datagrams;
  private final ActiveSettings active;
  private int reportedDrops;

  CounterLog(
      Scheduler scheduler,
      QueryCounters counters,
      DatagramTransport datagrams,
      ActiveSettings active) {
    this.scheduler = scheduler;
    this.counters = counters;
    this.datagrams = datagrams;
    this.active = active;
  }

  /** Schedules the next output, which schedules the one after it. */
  void schedule() {
    scheduler.schedule(INTERVAL, this::write);
  }

  private void write() {
    int drops = datagrams.dropped();
    if (drops > reportedDrops) {
      Log.infoWithFields("datagrams-dropped", "dropped unread", "dropped", drops - reportedDrops);
      reportedDrops = drops;
    }
    Object[] changes = counters.changesSinceLastReport();
    if (changes.length > 0) {
      Log.infoWithFields("dns-counts", "in the last " + INTERVAL.toSeconds() + " s", changes);
    }
    Map<SteeringDecision.Reason, Long> reasons = active.responder().reasons();
    if (!reasons.isEmpty()) {
      Log.infoWithFields("dns-reasons", reasons);
    }
    schedule();
  }
}
