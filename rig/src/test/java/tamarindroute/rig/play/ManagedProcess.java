package tamarindroute.rig.play;

import java.io.BufferedReader;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.ProcessEvent;
import tamarindroute.rig.journal.ProcessEvent.Kind;

/** One process of a run, through all its starts; what it prints goes to the journal. */
final class ManagedProcess {

  /** Creates the command of a start. */
  interface CommandFactory {
    ProcessBuilder command(Duration clockOffset) throws IOException;
  }

  /** A throttled process runs for a fifth of the time. */
  private static final long RUN_SLICE_MILLIS = 20;

  private static final long PAUSE_SLICE_MILLIS = 80;
  private static final long EXIT_TIMEOUT_SECONDS = 10;

  private final String name;
  private final int port;
  private final CommandFactory commands;
  private final Journal journal;
  private final SignalSender signals;
  private final ScheduledExecutorService timer;
  private Process process;
  private int incarnation;

  /** The last scheduled signal; null before the first. */
  private volatile Future<?> nextSignal;

  /** The process whose end is the rig's own action. */
  private volatile Process endedByRig;

  ManagedProcess(
      String name,
      int port,
      CommandFactory commands,
      Journal journal,
      SignalSender signals,
      ScheduledExecutorService timer) {
    this.name = name;
    this.port = port;
    this.commands = commands;
    this.journal = journal;
    this.signals = signals;
    this.timer = timer;
  }

  String name() {
    return name;
  }

  int port() {
    return port;
  }

  private void record(Kind kind, String details) {
    journal.add(JournalEntry.RIG, ProcessEvent.format(name, kind, details));
  }

  /** Starts the process; one that was terminated may take some time to end before. */
  void start(Duration clockOffset) throws IOException, InterruptedException {
    if (process != null && !hasEnded()) {
      throw new IOException("process " + name + " still runs");
    }
    incarnation++;
    Process started = commands.command(clockOffset).redirectErrorStream(true).start();
    process = started;
    record(
        Kind.STARTED,
        "incarnation=%d pid=%d address=%s clock=%s"
            .formatted(incarnation, started.pid(), Loopback.text(port), clockOffset));
    Thread reader = new Thread(() -> readOutput(started), "output of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  private boolean hasEnded() throws InterruptedException {
    return endedByRig == process && process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void readOutput(Process source) {
    try (BufferedReader lines = source.inputReader()) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        journal.add(name, line);
      }
      int code = source.waitFor();
      record(Kind.EXITED, "code=" + code + " expected=" + (endedByRig == source));
    } catch (IOException | InterruptedException e) {
      record(Kind.EXITED, "expected=" + (endedByRig == source));
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void kill() throws InterruptedException {
    endedByRig = process;
    record(Kind.KILLED, "");
    process.destroyForcibly().waitFor();
  }

  void terminate() throws IOException {
    endedByRig = process;
    record(Kind.TERMINATED, "");
    signals.send("TERM", process);
  }

  void pause(Duration length) throws IOException {
    Process paused = process;
    record(Kind.PAUSED, "for=" + length);
    signals.send("STOP", paused);
    schedule(
        () -> {
          signals.send("CONT", paused);
          record(Kind.RESUMED, "");
          return null;
        },
        length.toMillis());
  }

  void throttle(Duration length) {
    record(Kind.THROTTLED, "for=" + length);
    long endNanos = System.nanoTime() + length.toNanos();
    throttleSlice(process, endNanos);
  }

  /** Lets the process run for one slice, pauses it for one, and goes on until the end. */
  private void throttleSlice(Process throttled, long endNanos) {
    schedule(
        () -> {
          if (System.nanoTime() > endNanos) {
            record(Kind.UNTHROTTLED, "");
            return null;
          }
          signals.send("STOP", throttled);
          schedule(
              () -> {
                signals.send("CONT", throttled);
                throttleSlice(throttled, endNanos);
                return null;
              },
              PAUSE_SLICE_MILLIS);
          return null;
        },
        RUN_SLICE_MILLIS);
  }

  private void schedule(Callable<Void> task, long delayMillis) {
    nextSignal =
        timer.schedule(
            () -> {
              try {
                task.call();
              } catch (Exception e) {
                journal.add(JournalEntry.RIG, "signal to process " + name + " failed: " + e);
              }
            },
            delayMillis,
            TimeUnit.MILLISECONDS);
  }

  /** Ends the process at the end of the run, whatever it does. */
  void end() throws InterruptedException {
    if (nextSignal != null) {
      nextSignal.cancel(false);
    }
    if (process != null) {
      endedByRig = process;
      process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }
}
