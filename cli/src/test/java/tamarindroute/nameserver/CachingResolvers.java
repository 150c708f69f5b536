package tamarindroute.nameserver;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.xbill.DNS.Message;
import org.xbill.DNS.Section;

/**
 * Resolvers that keep an answer for its TTL and query again when their clients next need it. Times
 * are seconds since their creation.
 */
final class CachingResolvers {

  private static final int TIMEOUT_MS = 1000;
  private static final double RETRY_SECONDS = 0.2;
  private static final double MAX_PAUSE_SECONDS = 0.3;

  private final List<NameServerProcess> nameServers;
  private final double[] queriesAt;
  private final double[] expiresAt;

  /** The cached address of each resolver; null if it has none. */
  private final String[] cached;

  private final Random random = new Random(2);
  private final long startedAt = System.nanoTime();

  CachingResolvers(List<NameServerProcess> nameServers, int count) {
    this.nameServers = nameServers;
    queriesAt = new double[count];
    expiresAt = new double[count];
    cached = new String[count];
  }

  double elapsedSeconds() {
    return (System.nanoTime() - startedAt) * 1e-9;
  }

  /** Lets all resolvers query that are due at this time. */
  void refresh(double now) throws IOException {
    for (int i = 0; i < cached.length; i++) {
      if (queriesAt[i] <= now) {
        query(i);
      }
    }
  }

  private void query(int resolver) throws IOException {
    NameServerProcess nameServer = nameServers.get(random.nextInt(nameServers.size()));
    Message message = nameServer.query(NameServerHarness.SHED_3, TIMEOUT_MS);
    List<String> addresses = NameServerProcess.addresses(message);
    boolean answered = !addresses.isEmpty();
    cached[resolver] = answered ? addresses.get(0) : null;
    double ttl = answered ? message.getSection(Section.ANSWER).get(0).getTTL() : RETRY_SECONDS;
    expiresAt[resolver] = elapsedSeconds() + ttl;
    queriesAt[resolver] = expiresAt[resolver] + MAX_PAUSE_SECONDS * random.nextDouble();
  }

  /** The number of resolvers that have this address cached now. */
  int count(String address) {
    double now = elapsedSeconds();
    int count = 0;
    for (int i = 0; i < cached.length; i++) {
      if (Objects.equals(cached[i], address) && expiresAt[i] > now) {
        count++;
      }
    }
    return count;
  }
}
