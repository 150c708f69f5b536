package tamarindroute.rig.play;

import java.io.BufferedReader;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tamarindroute.rig.journal.Journal;

/** One process of the play, through its lives; what it prints goes to the journal. */
final class Actor {

  /** Makes the command of a life whose wall clock is off by so much. */
  interface Maker {
    ProcessBuilder make(Duration clock) throws IOException;
  }

  /** A starved process runs for a fifth of the time, in slices as a busy machine's are. */
  private static final long RUN_MILLIS = 20;

  private static final long REST_MILLIS = 80;

  final String name;
  final int port;
  private final Maker maker;
  private final Journal journal;
  private final Signals signals;
  private final ScheduledExecutorService timer;
  private Process process;
  private int life;

  /** The one whose end is the rig's own doing. */
  private volatile Process ending;

  Actor(
      String name,
      int port,
      Maker maker,
      Journal journal,
      Signals signals,
      ScheduledExecutorService timer) {
    this.name = name;
    this.port = port;
    this.maker = maker;
    this.journal = journal;
    this.signals = signals;
    this.timer = timer;
  }

  private void note(String text) {
    journal.add("rig", "process " + name + " " + text);
  }

  /** One that leaves may take its time; one that simply runs is not started twice. */
  void start(Duration clock) throws IOException, InterruptedException {
    if (process != null && (ending != process || !process.waitFor(10, TimeUnit.SECONDS))) {
      throw new IOException("process " + name + " still runs");
    }
    life++;
    Process started = maker.make(clock).redirectErrorStream(true).start();
    process = started;
    note(
        "started life="
            + life
            + " pid="
            + started.pid()
            + " address=127.0.0.1:"
            + port
            + " clock="
            + clock);
    Thread reader = new Thread(() -> read(started), "reader of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Process of) {
    try (BufferedReader lines = of.inputReader()) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        journal.add(name, line);
      }
      note("ended code=" + of.waitFor() + " meant=" + (ending == of));
    } catch (IOException | InterruptedException e) {
      note("ended meant=" + (ending == of));
    }
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  void kill() throws Exception {
    ending = process;
    note("killed");
    process.destroyForcibly().waitFor();
  }

  void leave() throws IOException {
    ending = process;
    note("leaves");
    signals.send("TERM", process);
  }

  void stop(Duration length) throws IOException {
    Process of = process;
    note("stopped for=" + length);
    signals.send("STOP", of);
    timer.schedule(
        () -> {
          signals.send("CONT", of);
          note("resumed");
          return null;
        },
        length.toNanos(),
        TimeUnit.NANOSECONDS);
  }

  void starve(Duration length) {
    Process of = process;
    note("starved for=" + length);
    long end = System.nanoTime() + length.toNanos();
    ScheduledFuture<?>[] beat = new ScheduledFuture<?>[1];
    beat[0] =
        timer.scheduleAtFixedRate(
            () -> {
              try {
                if (System.nanoTime() > end) {
                  beat[0].cancel(false);
                  note("fed");
                  return;
                }
                signals.send("STOP", of);
                timer.schedule(
                    () -> {
                      signals.send("CONT", of);
                      return null;
                    },
                    REST_MILLIS,
                    TimeUnit.MILLISECONDS);
              } catch (IOException e) {
                note("could not be starved: " + e);
              }
            },
            RUN_MILLIS,
            RUN_MILLIS + REST_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** The end of the play: whatever it does, it ends now. */
  void end() throws InterruptedException {
    if (process != null) {
      ending = process;
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }
}
