package tamarindroute.net;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.mina.core.session.IoSession;
import tamarindroute.log.Log;

/**
 * The connections that clients opened: admits them up to a limit, and drains them at the end.
 * Confined to the event loop, except for the counts of sessions, which MINA's threads keep.
 */
final class ClientConnections {

  /**
   * Accepted connections beyond the limit, for clients that are admitted faster than others are
   * closed for them. Half of the descriptors that are reserved for the process itself.
   */
  private static final int ACCEPT_OVERSHOOT = SocketTransport.RESERVED_DESCRIPTORS / 2;

  /**
   * Closed connections that wait for their clients to close; the first of them that has sent all is
   * cut off for one more. They use the clients' descriptors, of which there are more than the third
   * of all that the platform grants to clients, if there are 256 or more.
   */
  private static final int MAX_LINGERING = 8;

  /** Time until another try where more connections than the limit are open and all are in use. */
  private static final Duration EVICTION_RETRY_INTERVAL = Duration.ofMillis(100);

  private final Scheduler scheduler;
  private final int maxByDescriptors;

  /** Also read on MINA's thread. */
  private volatile int maxClients;

  private final AtomicInteger openSessions = new AtomicInteger();

  /** Accepted from the operating system, but not known to MINA's selector yet. */
  private final AtomicInteger pendingAccepts = new AtomicInteger();

  private final Set<Connection> clients = new LinkedHashSet<>();

  /** Clients that are asked to end for the sake of others, and have not ended yet. */
  private final Set<Connection> evicting = new HashSet<>();

  private final Set<Connection> lingering = new LinkedHashSet<>();
  private boolean evictionRetryScheduled;
  private Function<Connection, ConnectionHandler> handlerFactory;
  private boolean draining;
  private Runnable drainedListener = () -> {};

  /** Creates an empty set that may use this many descriptors. */
  ClientConnections(Scheduler scheduler, int maxByDescriptors) {
    this.scheduler = scheduler;
    this.maxByDescriptors = maxByDescriptors;
    this.maxClients = maxByDescriptors;
  }

  /** Sets the largest number of clients, if that is less than the descriptors allow. */
  void limit(int limit) {
    maxClients = Math.min(maxByDescriptors, limit);
  }

  /** Sets what makes the handler of each admitted connection. */
  void handledBy(Function<Connection, ConnectionHandler> factory) {
    handlerFactory = factory;
  }

  /** The connections of the admitted clients. */
  Collection<Connection> all() {
    return clients;
  }

  /** On MINA's accepting thread: whether one more connection may be accepted. */
  boolean mayAccept() {
    return sessionCount() + pendingAccepts.get() <= maxClients + ACCEPT_OVERSHOOT;
  }

  /** On MINA's accepting thread: a connection was accepted. */
  void onAccepted() {
    pendingAccepts.incrementAndGet();
  }

  /** On MINA's selecting thread: the session of an accepted connection was created. */
  void onSessionCreated() {
    openSessions.incrementAndGet();
    pendingAccepts.decrementAndGet();
  }

  /** On MINA's selecting thread: the session of a client has ended. */
  void onSessionClosed() {
    openSessions.decrementAndGet();
  }

  /** The number of open sessions; on any thread. */
  int sessionCount() {
    return openSessions.get();
  }

  /**
   * Admits a client. At the limit the connection that has been idle for longest is closed for it:
   * otherwise clients that send one request and stay, or none, would shut out all others. The new
   * connection is closed only if all are in use, without reading from it. Until MINA's thread has
   * confirmed that the idle connection has no unread bytes either, both are open.
   */
  void admit(Connection connection, IoSession session) {
    if (!session.isConnected()) {
      return;
    }
    if (!reduceTo(limitWithLingering() - 1)) {
      logAtCapacity("all in use: a new one closed");
      session.closeNow();
      return;
    }
    clients.add(connection);
    connection.handler = handlerFactory.apply(connection);
    connection.onSessionOpened(session);
    if (draining) {
      connection.handler.onListenerClosed();
    }
  }

  private int limitWithLingering() {
    int lingeringShare = draining ? MAX_LINGERING : Math.max(MAX_LINGERING, lingering.size());
    return Math.min(
        maxClients,
        Math.max(SocketTransport.MIN_DESCRIPTORS_PER_SIDE, maxByDescriptors - lingeringShare));
  }

  /** Has idle connections closed until so many are left; false if too many are in use. */
  private boolean reduceTo(int count) {
    while (clients.size() - evicting.size() > count) {
      if (!evictIdle()) {
        return false;
      }
    }
    return true;
  }

  private boolean evictIdle() {
    Connection idle =
        IdleConnections.longestIdle(
            clients.stream()
                .filter(
                    client -> !client.inbound().hasUnhandledInput() && !evicting.contains(client)));
    if (idle == null) {
      return false;
    }
    logAtCapacity("an idle one closed");
    evicting.add(idle);
    idle.closeIfUnused();
    return true;
  }

  private void logAtCapacity(String consequence) {
    Log.info("listener-at-capacity", clients.size() + " client connections, " + consequence);
  }

  /** The connection stays open, since it is in use; if it is one too many, another one ends. */
  void onCloseDeclined(Connection connection) {
    if (evicting.remove(connection)) {
      reduceToLimit();
    }
  }

  private void reduceToLimit() {
    if (!reduceTo(limitWithLingering()) && !evictionRetryScheduled) {
      evictionRetryScheduled = true;
      scheduler.schedule(EVICTION_RETRY_INTERVAL, this::retryEviction);
    }
  }

  private void retryEviction() {
    evictionRetryScheduled = false;
    reduceToLimit();
  }

  /**
   * A client's connection lingers. At the end, when no others come, any number may, and so may any
   * that still sends a response, which takes a bounded time.
   */
  void onLingering(Connection connection) {
    lingering.add(connection);
    if (lingering.size() > MAX_LINGERING && !draining) {
      lingering.stream()
          .filter(waiting -> waiting.unsentBytes() == 0)
          .findFirst()
          .ifPresent(this::cutOff);
    }
  }

  private void cutOff(Connection connection) {
    lingering.remove(connection);
    connection.closeNow();
  }

  /** The connection has ended for its handler; its session may linger. */
  void onConnectionClosed(Connection connection) {
    clients.remove(connection);
    evicting.remove(connection);
  }

  /** The session of any connection has ended. */
  void onSessionLost(Connection connection) {
    lingering.remove(connection);
  }

  /**
   * Informs all clients that no more are accepted.
   *
   * @param listener run once, when the last session has ended
   */
  void drain(Runnable listener) {
    draining = true;
    drainedListener = listener;
    Set.copyOf(clients).forEach(client -> client.handler.onListenerClosed());
    checkDrained();
  }

  /** Runs the listener of the drain if the last session has ended. */
  void checkDrained() {
    if (draining && sessionCount() + pendingAccepts.get() == 0) {
      Runnable listener = drainedListener;
      drainedListener = () -> {};
      listener.run();
    }
  }
}
