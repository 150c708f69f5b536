package tamarindroute.bench;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.Message;
import tamarindroute.dns.DnsFixture;
import tamarindroute.dns.Responder;
import tamarindroute.example.ToyServer;
import tamarindroute.nameserver.NameServerProcess;

/**
 * Measures the name server: answers per second and their latency, bytes allocated per query, the
 * time from a drain to the last answer with the drained cache, and {@link ColdRestartSimulation}.
 */
public final class DnsBenchmark {

  private static final String DNS_ELEMENTS =
      """
      <zone name="sheds.example." file="sheds.zone"/>
      <steer zone="sheds.example."><location label="shed-3" place="shed"/></steer>
      <limits answers-per-second="0"/>
      """;
  private static final int CACHE_PORT = 5050;
  private static final int EDGES = 16;

  private static final int DECISION_PASSES = 3;
  private static final int DECISIONS_PER_PASS = 200_000;
  private static final int DISTINCT_QUERIES = 1000;
  private static final long DECISION_INTERVAL_NANOS = 20_000;
  private static final Instant DECISION_TIME = Instant.ofEpochSecond(1_790_000_000);

  private static final int THROUGHPUT_PASSES = 3;
  private static final int THROUGHPUT_SECONDS = 5;
  private static final int OPEN_QUERIES = 64;
  private static final double[] LATENCY_LOADS = {0.25, 0.5};
  private static final int LATENCY_SECONDS = 10;

  private static final int DRAINS = 500;
  private static final long DRAIN_OBSERVATION_NANOS = 60_000_000;
  private static final int RECEIVE_BUFFER_BYTES = 2048;

  private DnsBenchmark() {}

  /** Runs all measurements; the argument is the file for the simulation's plot. */
  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("dns-bench");
    measureDecisions();
    try (ToyServer.Feed feed = new ToyServer.Feed(0);
        NameServerProcess nameServer =
            new NameServerProcess(folder, feed.port(), EDGES, CACHE_PORT, 1, "", DNS_ELEMENTS)) {
      nameServer.start();
      measureThroughputAndLatency(nameServer);
      measureDrains(nameServer, feed);
    }
    ColdRestartSimulation.main(arguments);
    // Threads of the feed would keep the process running.
    System.exit(0);
  }

  /** Time and allocated bytes per decision, in this process on one thread. */
  private static void measureDecisions() throws IOException {
    Responder responder = DnsFixture.responder(EDGES);
    Random random = new Random(1);
    List<byte[]> queries = new ArrayList<>();
    for (int i = 0; i < DISTINCT_QUERIES; i++) {
      queries.add(DnsFixture.query(random));
    }
    for (int pass = 1; pass <= DECISION_PASSES; pass++) {
      long bytesBefore = allocatedBytes();
      long startedAt = System.nanoTime();
      decide(responder, queries);
      double micros = (System.nanoTime() - startedAt) / 1000.0 / DECISIONS_PER_PASS;
      long bytes = (allocatedBytes() - bytesBefore) / DECISIONS_PER_PASS;
      System.out.printf(
          "in process, pass %d: %.1f us and %d bytes allocated a query (%d edges, one thread)%n",
          pass, micros, bytes, EDGES);
    }
  }

  private static void decide(Responder responder, List<byte[]> queries) {
    InetAddress client = InetAddress.getLoopbackAddress();
    for (int i = 0; i < DECISIONS_PER_PASS; i++) {
      responder.answer(
          queries.get(i % queries.size()),
          client,
          true,
          Duration.ofNanos(i * DECISION_INTERVAL_NANOS),
          DECISION_TIME);
    }
  }

  private static long allocatedBytes() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  /** Throughput of one core on sockets, then the latency at parts of it. */
  private static void measureThroughputAndLatency(NameServerProcess nameServer) throws Exception {
    pinToFirstCore(nameServer);
    DnsLoadGenerator generator = new DnsLoadGenerator(nameServer.address);
    double throughput = 0;
    for (int pass = 0; pass < THROUGHPUT_PASSES; pass++) {
      throughput = Math.max(throughput, generator.runClosedLoop(OPEN_QUERIES, THROUGHPUT_SECONDS));
    }
    System.out.printf(
        "sockets, one core: %.0f answers a second at the most (%d queries open, %d x %d s)%n",
        throughput, OPEN_QUERIES, THROUGHPUT_PASSES, THROUGHPUT_SECONDS);
    for (double load : LATENCY_LOADS) {
      double perSecond = throughput * load;
      DnsLoadGenerator.Latencies latencies = generator.runOpenLoop(perSecond, LATENCY_SECONDS);
      Histogram histogram = latencies.histogram();
      System.out.printf(
          "sockets, one core, open loop at %.0f a second: p50 %.2f, p99 %.2f, p99.9 %.2f, "
              + "max %.2f ms, %d of them unanswered in 1 s%n",
          perSecond,
          Histograms.millis(histogram, 50),
          Histograms.millis(histogram, 99),
          Histograms.millis(histogram, 99.9),
          Histograms.maxMillis(histogram),
          latencies.unanswered());
    }
  }

  private static void pinToFirstCore(NameServerProcess nameServer) throws Exception {
    new ProcessBuilder("taskset", "-a", "-p", "-c", "0", String.valueOf(nameServer.process.pid()))
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
  }

  /** Time from the feed's drain event to the last answer that still contains the cache. */
  private static void measureDrains(NameServerProcess nameServer, ToyServer.Feed feed)
      throws Exception {
    Histogram histogram = Histograms.upToSeconds(10);
    Random random = new Random(4);
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.setSoTimeout(1000);
      for (int drain = 0; drain < DRAINS; drain++) {
        int cache = random.nextInt(EDGES);
        long drainedAt = System.nanoTime();
        publish(feed, cache, "draining");
        long lastAnswerAt = drainedAt;
        while (System.nanoTime() - drainedAt < DRAIN_OBSERVATION_NANOS) {
          byte[] query = DnsLoadGenerator.randomQuery(random, drain);
          if (answers(nameServer, socket, query).contains("127.0.1." + (cache + 1))) {
            lastAnswerAt = System.nanoTime();
          }
        }
        histogram.recordValue(lastAnswerAt - drainedAt);
        publish(feed, cache, "ready");
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    System.out.printf(
        "sockets, from the feed's event to the last old answer, %d drains: p50 %.2f, p99 %.2f, "
            + "max %.2f ms%n",
        DRAINS,
        Histograms.millis(histogram, 50),
        Histograms.millis(histogram, 99),
        Histograms.maxMillis(histogram));
  }

  private static void publish(ToyServer.Feed feed, int cache, String state) {
    feed.publish(NameServerProcess.endpointEvent(cache, CACHE_PORT, state, 0));
  }

  private static List<String> answers(
      NameServerProcess nameServer, DatagramSocket socket, byte[] query) throws IOException {
    socket.send(new DatagramPacket(query, query.length, nameServer.address));
    byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
    DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
    socket.receive(packet);
    return NameServerProcess.addresses(new Message(Arrays.copyOf(buffer, packet.getLength())));
  }
}
