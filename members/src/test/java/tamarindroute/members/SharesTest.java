package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.decision.Cache;
import tamarindroute.host.Clock;
import tamarindroute.host.Steady;
import tamarindroute.members.agreed.Agreed;
import tamarindroute.members.shares.Shared;
import tamarindroute.members.shares.Shares;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;
import tamarindroute.net.Datagrams;
import tamarindroute.protocol.Seal;
import tamarindroute.shares.Bound;

/** Shares among gateways over UDP on loopback, each with a thread and a socket of its own. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(60)
class SharesTest {

  private static final int SIZE = 5;
  private static final double EVEN = 1.0 / SIZE;

  /**
   * Short, so that many lengths pass; longer than a busy machine's pauses, so that leases are
   * renewed in time.
   */
  private static final Bound BOUND =
      new Bound(SIZE, Bound.WHOLE, Duration.ofMillis(1_000), Duration.ofMillis(3_000));

  /** What a gateway's decisions were told: from then on a part until, and the even share after. */
  private record Told(Duration at, double part, Duration until) {
    double inUse(Duration now) {
      return now.compareTo(until) < 0 ? part : EVEN;
    }
  }

  /** A gateway's thread, socket and decisions, these as the list of what they were told. */
  private abstract class Process implements Endpoint.Listener {
    final Clock clock = new Clock();
    final Datagrams datagrams = new Datagrams(clock);
    final List<Told> history = Collections.synchronizedList(new ArrayList<>());
    final Endpoint endpoint;
    volatile boolean cut;
    volatile Duration ended;

    Process(Town town, int place, long birth, List<Address> seeds) {
      endpoint =
          new Endpoint(
              clock,
              datagrams,
              new MembersSettings(
                  town.places.get(place),
                  MembersSettings.address(town.places.get(place)),
                  null,
                  new Seal(Map.of(1, Town.KEY), 1),
                  seeds,
                  List.of(),
                  Map.of(),
                  Town.FAST),
              birth,
              this);
      gateways.add(this);
    }

    final void dealt(Cache.Tier tier, double part, Duration span) {
      Duration now = Steady.now();
      history.add(new Told(now, part, now.plus(span)));
    }

    final double inUse(Duration now) {
      if (ended != null && ended.compareTo(now) <= 0) {
        return 0;
      }
      synchronized (history) {
        return history.stream()
            .filter(told -> told.at.compareTo(now) <= 0)
            .reduce((a, b) -> b)
            .map(told -> told.inUse(now))
            .orElse(0.0);
      }
    }

    final double now() {
      return inUse(Steady.now());
    }

    /** At once: what it uses ends before its socket does, as with a process. */
    void kill() throws Exception {
      Town.on(
          clock,
          () -> {
            ended = Steady.now();
            cut = true;
            endpoint.leave();
            return null;
          });
      datagrams.shutDown();
    }
  }

  private static List<Shared> shared(Town town) {
    return List.of(new Shared(1, Cache.Tier.EDGE, BOUND, new HashSet<>(addresses(town, SIZE))));
  }

  private static List<Address> addresses(Town town, int first) {
    return town.places.subList(0, first).stream().map(MembersSettings::address).toList();
  }

  /** One that is told who leads by the test. */
  private final class Gateway extends Process implements Shares.Others {
    final Beside beside;
    final Shares shares;
    volatile boolean leads;

    Gateway(Town town, int place, long birth) throws Exception {
      super(town, place, birth, List.of());
      beside = new Beside(endpoint);
      shares = new Shares(clock, this, this::dealt, shared(town));
      Town.on(
          clock,
          () -> {
            endpoint.start();
            shares.start();
            return null;
          });
    }

    @Override
    public Member self() {
      return beside.self();
    }

    @Override
    public void send(Member to, Letter.Lease word) {
      if (!cut) {
        beside.send(to, word);
      }
    }

    @Override
    public void probe(Address place, Letter.Lease word, Duration within, Runnable refused) {
      if (lying
          && gateways.stream()
              .anyMatch(one -> one.cut && one.endpoint.self().address().equals(place))) {
        refused.run();
      }
      beside.probe(place, word, within, refused);
    }

    @Override
    public void lease(Member from, Letter.Lease word) {
      if (!cut) {
        shares.received(from, word);
      }
    }

    /** Leads, and goes on to do so in time, until it is told otherwise. */
    void lead(long number) throws Exception {
      leads = true;
      Member self = Town.on(clock, endpoint::self);
      for (Process one : gateways) {
        one.clock.handOver(() -> ((Gateway) one).shares.leader(self));
      }
      clock.handOver(() -> goOn(number));
    }

    private void goOn(long number) {
      if (leads) {
        shares.leads(number, Steady.now().plusMillis(500));
        clock.after(Duration.ofMillis(100), () -> goOn(number));
      }
    }

    @Override
    void kill() throws Exception {
      leads = false;
      super.kill();
    }

    void leave() throws Exception {
      Town.on(
          clock,
          () -> {
            shares.stop();
            ended = Steady.now();
            endpoint.leave();
            return null;
          });
    }
  }

  /** One of several that agree who leads; the first three vote. */
  private final class Agreeing extends Process {
    private Agreed agreed;
    private Sharing sharing;

    Agreeing(Town town, int place, Path store) throws Exception {
      super(town, place, 1_000, place == 0 ? List.of() : addresses(town, 1));
      Town.on(
          clock,
          () -> {
            endpoint.start();
            agreed =
                new Agreed(
                    clock,
                    addresses(town, SIZE).get(place),
                    addresses(town, 3),
                    store,
                    new Beside(endpoint));
            agreed.start();
            sharing = new Sharing(clock, endpoint, agreed, this::dealt, shared(town));
            return null;
          });
    }

    boolean leads() throws Exception {
      return Town.on(clock, () -> agreed.agreement().map(one -> one.state().leads()).orElse(false));
    }

    @Override
    public void became(Member about, Standing standing) {
      if (sharing != null) {
        sharing.became(about, standing);
      }
    }

    @Override
    public void agreement(Member from, byte[] bytes) {
      if (agreed != null) {
        agreed.received(from, bytes);
      }
    }

    @Override
    public void lease(Member from, Letter.Lease word) {
      if (sharing != null) {
        sharing.received(from, word);
      }
    }

    @Override
    void kill() throws Exception {
      super.kill();
      Town.on(
          clock,
          () -> {
            agreed.close();
            return null;
          });
    }
  }

  private final List<Process> gateways = Collections.synchronizedList(new ArrayList<>());
  private boolean lying;

  /**
   * The most that was in use at any moment: sums change only where a part is told, ends or its
   * gateway does.
   */
  private double most() {
    Set<Duration> moments = new TreeSet<>();
    List<Process> all = new ArrayList<>(gateways);
    for (Process one : all) {
      synchronized (one.history) {
        one.history.forEach(told -> moments.addAll(List.of(told.at, told.until)));
      }
    }
    Duration now = Steady.now();
    return moments.stream()
        .filter(at -> at.compareTo(now) <= 0)
        .mapToDouble(at -> all.stream().mapToDouble(one -> one.inUse(at)).sum())
        .max()
        .orElse(0);
  }

  private List<Gateway> started(Town town) throws Exception {
    List<Gateway> all = new ArrayList<>();
    for (int i = 0; i < SIZE; i++) {
      all.add(new Gateway(town, i, 1_000));
    }
    return all;
  }

  private void close() throws Exception {
    for (Process one : new ArrayList<>(gateways)) {
      one.kill();
    }
  }

  private static void reaches(Process one, double part) throws Exception {
    Town.await(() -> Math.abs(one.now() - part) < 1e-4);
  }

  @Test
  void whatTheDeadHeldIsUsedNeverTooMuchAndNothingOfItOnceTheDealerIsLost() throws Exception {
    try (Town town = new Town(SIZE)) {
      List<Gateway> all = started(town);
      Gateway dealer = all.get(0);
      Gateway second = all.get(1);
      assertThat(dealer.now()).as("quiet at first").isZero();
      dealer.lead(1);
      for (Gateway one : all) {
        reaches(one, EVEN);
      }
      for (int i = 2; i < SIZE; i++) {
        all.get(i).kill();
      }
      reaches(dealer, 0.5);
      reaches(second, 0.5);
      dealer.kill();
      Duration lost = Steady.now();
      reaches(second, EVEN);
      assertThat(Steady.now().minus(lost))
          .as("a length and a bit")
          .isLessThan(Duration.ofMillis(1_500));
      Gateway again = new Gateway(town, 2, 2_000);
      second.lead(2);
      reaches(second, 0.5);
      reaches(again, 0.5);
      again.leave();
      reaches(second, 1);
      assertThat(most()).isBetween(0.99, 1 + 1e-9);
    } finally {
      close();
    }
  }

  /**
   * One that is cut off lives on its even share; that the checker sees who deals it on is shown by
   * a dealer that does.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whoIsSilentKeepsItsShare(boolean asIfRefused) throws Exception {
    lying = asIfRefused;
    try (Town town = new Town(SIZE)) {
      List<Gateway> all = started(town);
      all.get(0).lead(1);
      for (Gateway one : all) {
        reaches(one, EVEN);
      }
      all.get(4).cut = true;
      TimeUnit.MILLISECONDS.sleep(2_500);
      if (asIfRefused) {
        assertThat(most()).isGreaterThan(1.1);
      } else {
        assertThat(most()).isBetween(0.99, 1 + 1e-9);
        for (Gateway one : all) {
          assertThat(one.now()).isEqualTo(EVEN);
        }
      }
    } finally {
      close();
    }
  }

  /**
   * The leader that is agreed deals; once it is killed the next does, after the first one's time
   * and a length.
   */
  @Test
  void whoeverLeadsTheAgreedViewDeals(@TempDir Path folder) throws Exception {
    try (Town town = new Town(SIZE)) {
      List<Agreeing> all = new ArrayList<>();
      for (int i = 0; i < SIZE; i++) {
        all.add(new Agreeing(town, i, folder.resolve("" + i)));
      }
      // Of those that don't vote both die.
      all.remove(4).kill();
      all.remove(3).kill();
      for (Agreeing one : all) {
        reaches(one, 1.0 / 3);
      }
      for (Agreeing one : List.copyOf(all)) {
        if (one.leads()) {
          all.remove(one);
          one.kill();
        }
      }
      assertThat(all).hasSize(2);
      for (Agreeing one : all) {
        reaches(one, EVEN);
      }
      for (Agreeing one : all) {
        reaches(one, 0.5);
      }
      assertThat(most()).isBetween(0.99, 1 + 1e-9);
    } finally {
      close();
    }
  }

  /** A proxy that refuses says nothing of the machine behind it. */
  @Test
  void onlyTheMachineItselfIsAskedWhetherAnybodyListens() throws Exception {
    try (Town town = new Town(4);
        DatagramSocket open = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      Address dead = MembersSettings.address(town.places.get(1));
      Address behind = MembersSettings.address(town.places.get(2));
      Address silent = new Address("127.0.0.1", open.getLocalPort());
      InetSocketAddress proxy = town.places.get(3);
      Town.Node node = town.start(0, 1_000, Town.KEY, Map.of(behind, proxy));
      AtomicInteger refused = new AtomicInteger();
      AtomicInteger wrongly = new AtomicInteger();
      Letter.Lease probe = new Letter.Lease(1, Letter.LeaseKind.PROBE, 0, 0, 0, Duration.ZERO);
      Town.on(
          node.clock,
          () -> {
            node.endpoint.probe(behind, probe, Duration.ofMillis(300), wrongly::incrementAndGet);
            node.endpoint.probe(silent, probe, Duration.ofMillis(300), wrongly::incrementAndGet);
            node.endpoint.probe(dead, probe, Duration.ofMillis(300), refused::incrementAndGet);
            return null;
          });
      Town.await(() -> refused.get() == 1);
      TimeUnit.MILLISECONDS.sleep(400);
      assertThat(wrongly).hasValue(0);
    }
  }
}
