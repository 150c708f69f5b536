package tamarindroute.bench;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.Message;
import org.xbill.DNS.Type;
import tamarindroute.dns.DnsFixture;
import tamarindroute.dns.Responder;
import tamarindroute.example.ToyServer;
import tamarindroute.nameserver.NameServerProcess;

/**
 * Measures the name server: answers a second and their latency, bytes allocated a query, the time
 * from a drain's event to the last old answer, and the convergence after a cold restart against
 * baselines, with its plot.
 */
public final class DnsBenchmark {

  private static final String INSIDE =
      "<zone name=\"sheds.example.\" file=\"sheds.zone\"/>\n"
          + "<steer zone=\"sheds.example.\"><location label=\"shed-3\" place=\"shed\"/></steer>\n"
          + "<limits answers-per-second=\"0\"/>\n";
  private static final int PORT = 5050;
  private static final int EDGES = 16;

  private DnsBenchmark() {}

  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("dns-bench");
    decisions();
    try (ToyServer.Feed feed = new ToyServer.Feed(0);
        NameServerProcess nameServer =
            new NameServerProcess(folder, feed.port(), EDGES, PORT, 1, "", INSIDE)) {
      nameServer.start();
      answersPerSecond(nameServer);
      drains(nameServer, feed);
    }
    ColdRestartSimulation.main(arguments);
    // Threads of the stand-ins go on for good.
    System.exit(0);
  }

  private static byte[] query(Random random, int id) throws IOException {
    String name = random.nextInt(4) == 0 ? "shed-3" : "p" + random.nextInt(64) + ".shed-3";
    return NameServerProcess.encodeQuery(name + ".sheds.example", Type.A, id);
  }

  /** The decision alone, in this process on one thread: time and bytes allocated a query. */
  private static void decisions() throws IOException {
    Responder responder = DnsFixture.responder(EDGES);
    Random random = new Random(1);
    List<byte[]> queries = new ArrayList<>();
    for (int i = 0; i < 1000; i++) {
      queries.add(DnsFixture.query(random));
    }
    InetAddress asker = InetAddress.getLoopbackAddress();
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    int rounds = 200_000;
    for (int pass = 0; pass < 3; pass++) {
      long bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
      long from = System.nanoTime();
      for (int i = 0; i < rounds; i++) {
        responder.answer(
            queries.get(i % 1000),
            asker,
            true,
            Duration.ofNanos(i * 20_000L),
            Instant.ofEpochSecond(1_790_000_000));
      }
      double micros = (System.nanoTime() - from) / 1000.0 / rounds;
      bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytes;
      System.out.printf(
          "in process, pass %d: %.1f us and %d bytes allocated a query (%d edges, one thread)%n",
          pass + 1, micros, bytes / rounds, EDGES);
    }
  }

  /**
   * On sockets: the most that one core answers, then latency at half of that, from each intended
   * start.
   */
  private static void answersPerSecond(NameServerProcess nameServer) throws Exception {
    new ProcessBuilder("taskset", "-a", "-p", "-c", "0", String.valueOf(nameServer.process.pid()))
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
    double most = 0;
    for (int pass = 0; pass < 3; pass++) {
      most = Math.max(most, closed(nameServer, 64, 5));
    }
    System.out.printf(
        "sockets, one core: %.0f answers a second at the most (64 questions open, 3 x 5 s)%n",
        most);
    for (double part : new double[] {0.25, 0.5}) {
      Histogram histogram = open(nameServer, most * part, 10);
      System.out.printf(
          "sockets, one core, open loop at %.0f a second: p50 %.2f, p99 %.2f, p99.9 %.2f, "
              + "max %.2f ms, %d of them unanswered in 1 s%n",
          most * part,
          histogram.getValueAtPercentile(50) / 1e6,
          histogram.getValueAtPercentile(99) / 1e6,
          histogram.getValueAtPercentile(99.9) / 1e6,
          histogram.getMaxValue() / 1e6,
          unanswered);
    }
  }

  private static double closed(NameServerProcess nameServer, int openAtOnce, int seconds)
      throws Exception {
    AtomicLong answered = new AtomicLong();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    List<Thread> threads = new ArrayList<>();
    for (int t = 0; t < 4; t++) {
      int number = t;
      threads.add(
          new Thread(
              () -> {
                try (DatagramSocket socket =
                    new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                  socket.setSoTimeout(50);
                  Random random = new Random(number);
                  byte[] buffer = new byte[2048];
                  int out = 0;
                  while (System.nanoTime() < end) {
                    while (out < openAtOnce / 4) {
                      byte[] query = query(random, out);
                      socket.send(new DatagramPacket(query, query.length, nameServer.address));
                      out++;
                    }
                    try {
                      socket.receive(new DatagramPacket(buffer, buffer.length));
                      answered.incrementAndGet();
                      out--;
                    } catch (SocketTimeoutException e) {
                      out = 0;
                    }
                  }
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              }));
    }
    for (Thread thread : threads) {
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return answered.get() / (double) seconds;
  }

  private static long unanswered;

  /**
   * Questions leave at their intended times, whatever became of those before; latency counts from
   * there.
   */
  private static Histogram open(NameServerProcess nameServer, double perSecond, int seconds)
      throws Exception {
    Histogram histogram = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
    int slots = 1 << 16;
    long[] intended = new long[slots];
    unanswered = 0;
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.setReceiveBufferSize(4 << 20);
      socket.setSoTimeout(1000);
      Thread reader =
          new Thread(
              () -> {
                byte[] buffer = new byte[2048];
                try {
                  while (true) {
                    socket.receive(new DatagramPacket(buffer, buffer.length));
                    long now = System.nanoTime();
                    int id = (buffer[0] & 0xFF) << 8 | buffer[1] & 0xFF;
                    histogram.recordValue(
                        Math.min(now - intended[id], TimeUnit.SECONDS.toNanos(9)));
                  }
                } catch (IOException e) {
                  // A second without an answer: all have come that will.
                }
              });
      reader.start();
      Random random = new Random(3);
      long start = System.nanoTime();
      long sent = 0;
      double at = 0;
      while (at < seconds) {
        at += -Math.log(1 - random.nextDouble()) / perSecond;
        long due = start + (long) (at * 1e9);
        while (System.nanoTime() < due) {
          Thread.onSpinWait();
        }
        int id = (int) (sent++ % slots);
        intended[id] = due;
        byte[] query = query(random, id);
        socket.send(new DatagramPacket(query, query.length, nameServer.address));
      }
      reader.join();
      unanswered = sent - histogram.getTotalCount();
    }
    return histogram;
  }

  /**
   * From the moment that the feed is told of a drain to the last answer that still names the cache.
   */
  private static void drains(NameServerProcess nameServer, ToyServer.Feed feed) throws Exception {
    Histogram histogram = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
    Random random = new Random(4);
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.setSoTimeout(1000);
      byte[] buffer = new byte[2048];
      for (int drain = 0; drain < 500; drain++) {
        int cache = random.nextInt(EDGES);
        byte[] ours = InetAddress.getByName("127.0.1." + (cache + 1)).getAddress();
        long told = System.nanoTime();
        feed.publish(NameServerProcess.endpointEvent(cache, PORT, "draining", 0));
        long last = told;
        while (System.nanoTime() - told < 60_000_000L) {
          byte[] query = query(random, drain);
          socket.send(new DatagramPacket(query, query.length, nameServer.address));
          DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
          socket.receive(packet);
          Message message = new Message(Arrays.copyOf(buffer, packet.getLength()));
          if (NameServerProcess.addresses(message)
              .contains(InetAddress.getByAddress(ours).getHostAddress())) {
            last = System.nanoTime();
          }
        }
        histogram.recordValue(last - told);
        feed.publish(NameServerProcess.endpointEvent(cache, PORT, "ready", 0));
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    System.out.printf(
        "sockets, from the feed's event to the last old answer, 500 drains: p50 %.2f, p99 %.2f, "
            + "max %.2f ms%n",
        histogram.getValueAtPercentile(50) / 1e6,
        histogram.getValueAtPercentile(99) / 1e6,
        histogram.getMaxValue() / 1e6);
  }
}
