package tamarindroute.nameserver;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.Message;
import org.xbill.DNS.Type;

/** Queries a name server continuously on several threads and keeps the addresses in its answers. */
final class QueryLoad {

  /** An address in an answer, and when that arrived, by {@link System#nanoTime}. */
  record ObservedAnswer(String address, long observedAt) {}

  private static final int QUERY_ID = 9;
  private static final int TIMEOUT_MS = 500;
  private static final long PAUSE_MICROS = 200;
  private static final int PARTITIONS = 64;

  private final NameServerProcess nameServer;
  private final ConcurrentLinkedQueue<ObservedAnswer> answers = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private QueryLoad(NameServerProcess nameServer) {
    this.nameServer = nameServer;
  }

  static QueryLoad start(NameServerProcess nameServer, int threadCount) {
    QueryLoad load = new QueryLoad(nameServer);
    for (int i = 0; i < threadCount; i++) {
      Random random = new Random(i);
      Thread thread = new Thread(() -> load.run(random));
      load.threads.add(thread);
      thread.start();
    }
    return load;
  }

  /** Ends the load and returns all answers. */
  List<ObservedAnswer> stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(answers);
  }

  private void run(Random random) {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      while (!stopped) {
        Message message = nameServer.query(socket, randomQuery(random), TIMEOUT_MS);
        long now = System.nanoTime();
        NameServerProcess.addresses(message)
            .forEach(address -> answers.add(new ObservedAnswer(address, now)));
        TimeUnit.MICROSECONDS.sleep(PAUSE_MICROS);
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static byte[] randomQuery(Random random) throws IOException {
    boolean service = random.nextInt(4) == 0;
    String label =
        switch (random.nextInt(3)) {
          case 0 -> "";
          case 1 -> "clip.";
          default -> "p" + random.nextInt(PARTITIONS) + ".";
        };
    String name = (service ? "_cache._tcp." : "") + label + NameServerHarness.SHED_3;
    return NameServerProcess.encodeQuery(name, service ? Type.SRV : Type.A, QUERY_ID);
  }
}
