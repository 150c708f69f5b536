package tamarindroute.bench;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.Type;
import tamarindroute.nameserver.NameServerProcess;

/** Sends queries by UDP, in a closed loop for throughput or in an open loop for latencies. */
final class DnsLoadGenerator {

  /**
   * The result of an open loop.
   *
   * @param histogram nanoseconds from each query's intended time to its answer
   * @param unanswered number of queries without an answer
   */
  record Latencies(Histogram histogram, long unanswered) {}

  private static final int THREADS = 4;
  private static final int BUFFER_BYTES = 2048;
  private static final int QUERY_IDS = 1 << 16;
  private static final int PARTITIONS = 64;

  /** A closed loop counts queries as lost after a silence of this length. */
  private static final int LOSS_TIMEOUT_MS = 50;

  /** An open loop ends after a silence of this length. */
  private static final int LAST_ANSWER_TIMEOUT_MS = 1000;

  private static final int SOCKET_BUFFER_BYTES = 4 << 20;
  private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(9);

  private final InetSocketAddress server;

  DnsLoadGenerator(InetSocketAddress server) {
    this.server = server;
  }

  /** A query for a random name of the location. */
  static byte[] randomQuery(Random random, int id) throws IOException {
    String name = random.nextInt(4) == 0 ? "shed-3" : "p" + random.nextInt(PARTITIONS) + ".shed-3";
    return NameServerProcess.encodeQuery(name + ".sheds.example", Type.A, id);
  }

  /** Keeps a number of queries open and returns the answers per second. */
  double runClosedLoop(int openQueries, int seconds) throws InterruptedException {
    AtomicLong answered = new AtomicLong();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      Random random = new Random(i);
      threads.add(new Thread(() -> runClosedLoop(openQueries / THREADS, end, random, answered)));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    return answered.get() / (double) seconds;
  }

  private void runClosedLoop(int openQueries, long end, Random random, AtomicLong answered) {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.setSoTimeout(LOSS_TIMEOUT_MS);
      byte[] buffer = new byte[BUFFER_BYTES];
      int open = 0;
      while (System.nanoTime() < end) {
        while (open < openQueries) {
          send(socket, randomQuery(random, open));
          open++;
        }
        try {
          socket.receive(new DatagramPacket(buffer, buffer.length));
          answered.incrementAndGet();
          open--;
        } catch (SocketTimeoutException e) {
          open = 0;
        }
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void send(DatagramSocket socket, byte[] query) throws IOException {
    socket.send(new DatagramPacket(query, query.length, server));
  }

  /**
   * Sends queries at intended times, whatever becomes of those before, and measures latencies from
   * these times.
   */
  Latencies runOpenLoop(double perSecond, int seconds) throws IOException, InterruptedException {
    Histogram histogram = Histograms.upToSeconds(10);
    long[] intendedAt = new long[QUERY_IDS];
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
      socket.setSoTimeout(LAST_ANSWER_TIMEOUT_MS);
      Thread reader = new Thread(() -> readAnswers(socket, intendedAt, histogram));
      reader.start();
      long sent = sendOpenLoop(socket, perSecond, seconds, intendedAt);
      reader.join();
      return new Latencies(histogram, sent - histogram.getTotalCount());
    }
  }

  private static void readAnswers(DatagramSocket socket, long[] intendedAt, Histogram histogram) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      while (true) {
        socket.receive(new DatagramPacket(buffer, buffer.length));
        long now = System.nanoTime();
        int id = ((buffer[0] & 0xFF) << 8) | (buffer[1] & 0xFF);
        histogram.recordValue(Math.min(now - intendedAt[id], MAX_RECORDED_NANOS));
      }
    } catch (IOException e) {
      // After a second without an answer no more are expected.
    }
  }

  private long sendOpenLoop(DatagramSocket socket, double perSecond, int seconds, long[] intendedAt)
      throws IOException {
    Random random = new Random(3);
    long startedAt = System.nanoTime();
    long sent = 0;
    double atSeconds = 0;
    while (atSeconds < seconds) {
      atSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
      long dueAt = startedAt + (long) (atSeconds * 1e9);
      while (System.nanoTime() < dueAt) {
        Thread.onSpinWait();
      }
      int id = (int) (sent % QUERY_IDS);
      sent++;
      intendedAt[id] = dueAt;
      send(socket, randomQuery(random, id));
    }
    return sent;
  }
}
