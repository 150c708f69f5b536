package tamarindroute.vrrptransport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import tamarindroute.host.EventLoop;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MessageAuthenticator;
import tamarindroute.vrrp.Election;

/** A gateway with an event loop of its own and one virtual router. */
final class TestGateway {

  static final int VIRTUAL_ID = 9;
  static final String SHARED_ADDRESS = "127.0.9.9";

  /**
   * Long enough that the pauses of a busy machine are not taken for a failure. A router counts as
   * down after up to 3.6 intervals with the priorities of these tests.
   */
  static final Duration INTERVAL = Duration.ofMillis(100);

  static final Duration GRANT_DURATION = INTERVAL.multipliedBy(3);

  final EventLoop eventLoop = new EventLoop();
  final DatagramTransport datagrams = new DatagramTransport(eventLoop);

  /** What the gateway did with the shared address: "take", or "drop" with the reason. */
  final List<String> addressLog = Collections.synchronizedList(new ArrayList<>());

  VirtualRouter router;

  private VrrpEndpoint endpoint;

  /**
   * Starts the gateway.
   *
   * @param voters other voters; none if acting requires no grants
   */
  void start(
      InetSocketAddress ownAddress,
      List<InetSocketAddress> peers,
      List<InetSocketAddress> voters,
      int priority,
      MessageAuthenticator authenticator)
      throws Exception {
    runOnEventLoop(
        () -> {
          endpoint =
              new VrrpEndpoint(
                  eventLoop, datagrams, ownAddress, peers, authenticator, System.nanoTime());
          router =
              endpoint.add(
                  VIRTUAL_ID,
                  priority,
                  List.of(InetAddress.getByName(SHARED_ADDRESS)),
                  new Election.Settings(
                      VrrpEndpoint.tieBreaker(ownAddress), INTERVAL, true, Duration.ZERO),
                  new LoggingAddressHolder());
          if (!voters.isEmpty()) {
            endpoint.requireVoters(voters, GRANT_DURATION);
          }
          endpoint.start();
          return null;
        });
  }

  private final class LoggingAddressHolder implements VrrpEndpoint.AddressHolder {

    @Override
    public void onTaken() {
      addressLog.add("take");
    }

    @Override
    public void onReleased(Election.ReleaseReason reason) {
      addressLog.add("drop " + reason);
    }
  }

  /** Runs a task on the event loop and returns its result or throws its exception. */
  <T> T runOnEventLoop(Callable<T> task) throws Exception {
    AtomicReference<T> result = new AtomicReference<>();
    AtomicReference<Exception> failure = new AtomicReference<>();
    CountDownLatch finished = new CountDownLatch(1);
    eventLoop.execute(
        () -> {
          try {
            result.set(task.call());
          } catch (Exception e) {
            failure.set(e);
          }
          finished.countDown();
        });
    assertThat(finished.await(20, TimeUnit.SECONDS)).isTrue();
    if (failure.get() != null) {
      throw failure.get();
    }
    return result.get();
  }

  boolean mayAct() throws Exception {
    return runOnEventLoop(() -> router.mayAct());
  }

  /** Stops the gateway in an orderly way. */
  void stop() throws Exception {
    runOnEventLoop(
        () -> {
          endpoint.stop();
          return null;
        });
  }
}
