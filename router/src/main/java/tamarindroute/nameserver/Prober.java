package tamarindroute.nameserver;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.dns.Probes;
import tamarindroute.dns.Probes.Came;
import tamarindroute.host.Report;
import tamarindroute.host.Roster;
import tamarindroute.log.Log;
import tamarindroute.net.Asked;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.net.Timers;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;

/**
 * Sends the probes that are due and tells the modules what they speak for. It must never choose
 * whom to probe, nor tell of a probe that did not leave.
 */
final class Prober {

  /** Probes that are due go out this often; their spread over time is the budget's. */
  private static final Duration TICK = Duration.ofMillis(20);

  private final Timers timers;
  private final Roster roster;
  private final Probes probes;
  private final List<Decisions> modules;
  private final Duration within;
  private long tags;

  Prober(Timers timers, Roster roster, Probes probes, List<Decisions> modules, Duration within) {
    this.timers = timers;
    this.roster = roster;
    this.probes = probes;
    this.modules = modules;
    this.within = within;
  }

  void tick() {
    probes.due(timers.now()).forEach(cache -> new Probe(cache).go());
    timers.after(TICK, this::tick);
  }

  private final class Probe implements Asked {

    private final Cache cache;
    private Runnable timer = () -> {};
    private Runnable quit = () -> {};
    private String word;
    private Fields fields;
    private boolean over;

    Probe(Cache cache) {
      this.cache = cache;
    }

    void go() {
      // The id of a probe is a number of its own; no view's id is so short.
      quit = roster.line(cache).probe(Long.toString(++tags), this);
      timer =
          timers.after(
              within,
              () -> {
                end(Came.SILENT);
                quit.run();
              });
    }

    @Override
    public void answered(String told, Fields values, int length) {
      word = told;
      fields = values;
    }

    @Override
    public void body(ByteBuffer part, Connection from) {}

    @Override
    public void whole() {
      try {
        Load load = Report.load(fields);
        if (load != null && !over) {
          modules.forEach(module -> module.loaded(cache, load, timers.now()));
        }
      } catch (MalformedException e) {
        Log.line("cache-unreadable", e.getMessage());
      }
      end(word.equals("READY") ? Came.READY : Came.AILING);
    }

    @Override
    public void ended(Ending ending, boolean written) {
      end(
          switch (ending) {
            case REFUSED, UNREACHABLE -> Came.REFUSED;
            case NOT_UP_IN_TIME -> Came.SILENT;
            case NO_DESCRIPTOR, LET_GO -> Came.NOT_SENT;
            default -> written ? Came.BROKEN : Came.NOT_SENT;
          });
    }

    private void end(Came came) {
      if (over) {
        return;
      }
      over = true;
      timer.run();
      for (Probes.Told told : probes.came(cache, came, timers.now())) {
        modules.forEach(module -> module.probed(told.cache(), told.result(), timers.now()));
      }
    }
  }
}
