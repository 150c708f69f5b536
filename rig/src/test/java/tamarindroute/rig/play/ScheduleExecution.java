package tamarindroute.rig.play;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.JournalEntry;
import tamarindroute.rig.journal.LinkEvent;
import tamarindroute.rig.proxy.LinkFaults;
import tamarindroute.rig.proxy.ProxyNetwork;
import tamarindroute.rig.schedule.ActionTarget;
import tamarindroute.rig.schedule.Schedule;
import tamarindroute.rig.schedule.Schedule.ProcessKind;

/** One run of a schedule, from the start of its processes to their end. Returns the journal. */
public final class ScheduleExecution implements ActionTarget {

  /** More starts at once would stall running members, which take that for a pause of their own. */
  private static final int STARTS_AT_ONCE =
      Math.max(2, Runtime.getRuntime().availableProcessors() / 2);

  /** The clients' deadline, and as much again for processes that were paused shortly before. */
  private static final long LAST_ANSWERS_MILLIS = 3500;

  private static final int TIMER_THREADS = 2;
  private static final String JOURNAL_FILE = "journal.log";

  private final Schedule schedule;
  private final Path folder;
  private final Journal journal = new Journal();
  private final Readiness readiness = new Readiness(journal);
  private final ProxyNetwork proxies;
  private final SignalSender signals = new SignalSender();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(TIMER_THREADS, ScheduleExecution::timerThread);
  private final Map<String, Integer> ports = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

  /** Null for stubs. */
  private final FakeServers servers;

  /** Null before the clients start, or without clients. */
  private ClientLoad clients;

  private ScheduleExecution(Schedule schedule, Path folder) throws IOException {
    this.schedule = schedule;
    this.folder = Files.createDirectories(folder);
    proxies = new ProxyNetwork(schedule.seed());
    for (String name : schedule.processNames()) {
      ports.put(name, PortAllocator.allocate());
    }
    boolean stubs = schedule.kind() == ProcessKind.STUBS;
    servers = stubs ? null : new FakeServers(schedule, journal, proxies);
    ProcessCommands commands = new ProcessCommands(schedule, folder, ports, servers, proxies);
    ports.forEach(
        (name, port) ->
            processes.put(
                name,
                new ManagedProcess(
                    name,
                    port,
                    clockOffset -> commands.command(name, clockOffset),
                    journal,
                    signals,
                    timer)));
  }

  private static Thread timerThread(Runnable task) {
    Thread thread = new Thread(task, "timer of the run");
    thread.setDaemon(true);
    return thread;
  }

  /** Runs a schedule; the journal is also written to the folder. */
  public static List<JournalEntry> execute(Schedule schedule, Path folder) throws Exception {
    ScheduleExecution execution = new ScheduleExecution(schedule, folder);
    try {
      execution.run();
      return execution.journal.entries();
    } finally {
      execution.end();
    }
  }

  private void run() throws Exception {
    journal.add(JournalEntry.RIG, "schedule " + schedule.file() + " seed=" + schedule.seed());
    for (Schedule.TimedAction timed : schedule.actions()) {
      if (timed.at().isZero()) {
        perform(timed);
      }
    }
    startProcesses();
    Duration start = journal.add(JournalEntry.RIG, Journal.RUN_BEGINS);
    startClients();
    for (Schedule.TimedAction timed : schedule.actions()) {
      if (!timed.at().isZero()) {
        waitUntil(start.plus(timed.at()));
        perform(timed);
      }
    }
    waitUntil(start.plus(schedule.end()));
    if (clients != null) {
      clients.finish(LAST_ANSWERS_MILLIS);
    }
    journal.add(JournalEntry.RIG, Journal.RUN_ENDS);
  }

  private void startProcesses() throws IOException, InterruptedException {
    List<ManagedProcess> all = List.copyOf(processes.values());
    for (int i = 0; i < all.size(); i++) {
      if (i >= STARTS_AT_ONCE) {
        awaitReady(all.get(i - STARTS_AT_ONCE));
      }
      all.get(i).start(Duration.ZERO);
    }
    for (ManagedProcess process : all) {
      awaitReady(process);
    }
    if (schedule.kind() == ProcessKind.MEMBERS) {
      readiness.awaitMembers(ports);
    }
  }

  private void awaitReady(ManagedProcess process) throws IOException, InterruptedException {
    if (schedule.kind() == ProcessKind.STUBS) {
      readiness.awaitStub(process);
    } else {
      readiness.awaitGateway(process);
    }
  }

  private void startClients() {
    if (schedule.clientRate() > 0) {
      Map<String, InetSocketAddress> gateways = new LinkedHashMap<>();
      ports.forEach((name, port) -> gateways.put(name, Loopback.address(port)));
      clients = new ClientLoad(journal, schedule.seed(), gateways);
      clients.start(timer, schedule.clientRate());
    }
  }

  private void perform(Schedule.TimedAction timed) throws Exception {
    journal.add(JournalEntry.RIG, "action " + timed.text());
    timed.action().applyTo(this);
  }

  private void waitUntil(Duration time) throws InterruptedException {
    long nanos = time.minus(journal.now()).toNanos();
    if (nanos > 0) {
      TimeUnit.NANOSECONDS.sleep(nanos);
    }
  }

  @Override
  public void changeFaults(List<String> from, List<String> to, UnaryOperator<LinkFaults> change) {
    for (String sender : from) {
      for (String receiver : to) {
        if (!sender.equals(receiver)) {
          proxies.changeFaults(
              sender, receiver, faults -> changed(sender, receiver, faults, change));
        }
      }
    }
  }

  private LinkFaults changed(
      String from, String to, LinkFaults before, UnaryOperator<LinkFaults> change) {
    LinkFaults now = change.apply(before);
    if (now.cut() != before.cut()) {
      LinkEvent event = new LinkEvent(LinkEvent.nameOf(from, to), now.cut());
      journal.add(JournalEntry.RIG, event.format());
    }
    return now;
  }

  @Override
  public void resetConnections() {
    proxies.resetConnections();
  }

  @Override
  public void pause(String process, Duration length) throws IOException {
    processes.get(process).pause(length);
  }

  @Override
  public void throttle(String process, Duration length) {
    processes.get(process).throttle(length);
  }

  @Override
  public void kill(String process) throws InterruptedException {
    processes.get(process).kill();
  }

  @Override
  public void terminate(String process) throws IOException {
    processes.get(process).terminate();
  }

  @Override
  public void start(String process, Duration clockOffset) throws IOException, InterruptedException {
    processes.get(process).start(clockOffset);
  }

  @Override
  public void announce(String cache, String state, List<String> gateways) {
    servers.announce(cache, state, gateways);
  }

  @Override
  public void setMode(String cache, String mode) {
    servers.setMode(cache, mode);
  }

  private void end() throws IOException, InterruptedException {
    for (ManagedProcess process : processes.values()) {
      process.end();
    }
    timer.shutdownNow();
    try {
      journal.write(folder.resolve(JOURNAL_FILE));
    } finally {
      closeAll();
    }
  }

  /** Closes everything, also when closing a part fails. */
  private void closeAll() throws IOException {
    IOException failure = new IOException("the run's resources could not be closed");
    Stream.of(clients, servers, proxies, signals)
        .filter(Objects::nonNull)
        .forEach(resource -> close(resource, failure));
    if (failure.getSuppressed().length > 0) {
      throw failure;
    }
  }

  private static void close(Closeable resource, IOException failure) {
    try {
      resource.close();
    } catch (IOException e) {
      failure.addSuppressed(e);
    }
  }
}
