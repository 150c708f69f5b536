package tamarindroute.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.protocol.CallFields;
import tamarindroute.protocol.ClientCommand;
import tamarindroute.protocol.ClientProtocol;
import tamarindroute.protocol.ClientStatus;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Second stage of the pipeline: turns a call into a pending request with a deadline, or rejects it
 * before anything has run. Reasons to reject are invalid fields, buffers, the number of requests in
 * flight, and draining.
 */
final class AdmissionControl {

  /**
   * Largest budget that a call may state, as a multiple of the longest deadline in the settings. A
   * larger one is taken for a client's error.
   */
  private static final int MAX_BUDGET_MULTIPLE = 20;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Requests in flight may take this part of the heap. */
  private static final int HEAP_DIVISOR = 6;

  /** What a request in flight takes of the heap, without its buffers. */
  private static final int BYTES_PER_REQUEST = 1_600;

  private final EventLoop eventLoop;
  private final Router router;
  private final OutcomeHandler outcomeHandler;

  /** Request classes by their normalized names. */
  private final Map<String, RequestClass> requestClasses;

  private final boolean sharesConnections;
  private final int maxInFlight;
  private final double maxBudgetMillis;
  private final Map<String, PendingRequest> pendingById = new HashMap<>();
  private volatile int inFlight;
  private int clientCount;
  private boolean ready;
  private boolean draining;

  /**
   * Creates a stage without requests.
   *
   * @param sharesConnections whether attempts of an idempotent request share connections though
   *     only one may be in flight, since no cache responds twice
   */
  AdmissionControl(
      SettingsReader settings,
      EventLoop eventLoop,
      Router router,
      OutcomeHandler outcomeHandler,
      boolean sharesConnections)
      throws MalformedSettingsException {
    this.eventLoop = eventLoop;
    this.router = router;
    this.outcomeHandler = outcomeHandler;
    this.requestClasses = settings.requestClassesByName();
    this.sharesConnections = sharesConnections || settings.hedgingAllowed();
    this.maxInFlight = (int) Math.min(settings.maxInFlight(), maxInFlightByHeap());
    this.maxBudgetMillis = MAX_BUDGET_MULTIPLE * settings.longestDeadline().toMillis();
  }

  private static long maxInFlightByHeap() {
    return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / BYTES_PER_REQUEST;
  }

  /** Whether health checks are answered with ready. Requests are served in either case. */
  boolean isReady() {
    return ready;
  }

  void setReady(boolean isReady) {
    ready = isReady;
  }

  boolean isDraining() {
    return draining;
  }

  /** Rejects all further calls, and closes each client connection when its last request ends. */
  void startDraining() {
    draining = true;
  }

  /** Returns the number of requests in flight. May be called on any thread. */
  int inFlight() {
    return inFlight;
  }

  /**
   * Admits a call and routes it, or rejects it.
   *
   * @param withinConnectionLimit whether the protocol allows the connection one more open request
   * @return false if the call's fields are invalid
   */
  boolean admit(
      ClientConnection client,
      ClientConnection.ReceivedCall received,
      boolean withinConnectionLimit) {
    // An attempt for this call would outlive the gateway, or serve a client that has gone.
    if (draining || client.isAbandoned()) {
      reject(client, received);
      return true;
    }
    if (received.overCapacity() || pendingById.size() >= maxInFlight) {
      Log.info(
          "over-capacity",
          (received.overCapacity()
                  ? "call rejected, no buffer for its body; requests in flight: "
                  : "call rejected, limit of requests in flight reached: ")
              + pendingById.size());
      reject(client, received);
      return true;
    }
    if (!withinConnectionLimit || exceedsFairShare(client)) {
      reject(client, received);
      return true;
    }
    PendingRequest pending;
    try {
      pending = parseRequest(client, received);
    } catch (MalformedMessageException e) {
      Log.info("invalid-request", "call rejected: " + e.getMessage());
      reject(client, received);
      return false;
    }
    if (pending.timeLeft(eventLoop.now()).compareTo(Duration.ZERO) <= 0) {
      Log.info("request-expired", "call rejected: its time had ended before it was read");
      reject(client, received);
      return true;
    }
    start(pending);
    return true;
  }

  /**
   * Whether the gateway is busy and the client has its share of the requests in flight, so that
   * clients that send much at once leave room for others.
   */
  private boolean exceedsFairShare(ClientConnection client) {
    return pendingById.size() >= maxInFlight / 2
        && client.openRequests() >= Math.max(1, maxInFlight / 2 / clientCount);
  }

  /** A client's connection was opened. */
  void onClientOpened() {
    clientCount++;
  }

  /** A client's connection has ended. */
  void onClientClosed() {
    clientCount--;
  }

  private static void reject(ClientConnection client, ClientConnection.ReceivedCall received) {
    received.body().forEach(IoBuffer::free);
    client.responses.send(
        ClientProtocol.encodeResponse(received.call().tag(), ClientStatus.REJECTED));
  }

  private void start(PendingRequest pending) {
    pending.client.onRequestStarted(pending);
    pendingById.put(pending.id(), pending);
    inFlight = pendingById.size();
    pending.setDeadlineTimer(
        eventLoop.schedule(
            pending.timeLeft(eventLoop.now()), () -> outcomeHandler.onDeadline(pending)));
    router.route(pending);
  }

  /**
   * Checks every field that is passed on to a cache. A cache closes its connection on an invalid
   * field, which would fail the other requests on that connection too.
   */
  private PendingRequest parseRequest(
      ClientConnection client, ClientConnection.ReceivedCall received)
      throws MalformedMessageException {
    ClientCommand.Call call = received.call();
    RequestClass requestClass = requestClass(call.requestClass());
    CallFields fields = ClientProtocol.decodeCallFields(call.fields(), maxBudgetMillis);
    if (fields.idempotencyKey() == null
        && requestClass.idempotency() == RequestClass.Idempotency.KEYED) {
      throw new MalformedMessageException(
          "idempotency key is missing, required by the keyed request class " + call.requestClass());
    }
    if (pendingById.containsKey(fields.requestId())) {
      throw new MalformedMessageException(
          "request id", fields.requestId(), "an id that no request in flight has");
    }
    Duration arrivalTime = client.lastReceivedAt();
    Duration budget = Duration.ofNanos((long) (fields.budgetMillis() * NANOS_PER_MILLI));
    Request request =
        new Request(
            requestClass,
            Long.parseUnsignedLong(fields.objectId(), 16),
            fields.part(),
            fields.purgeGroup(),
            fields.kilobytes(),
            arrivalTime,
            arrivalTime.plus(budget));
    return new PendingRequest(
        client, received, fields, request, needsConnectionPerAttempt(requestClass));
  }

  /**
   * Whether it does harm if a second response to one attempt passes for the response to the next:
   * the next one would be repeated while it runs.
   */
  private boolean needsConnectionPerAttempt(RequestClass requestClass) {
    return !sharesConnections || requestClass.idempotency() != RequestClass.Idempotency.IDEMPOTENT;
  }

  /**
   * Returns the request class of a name. A name with a comma is invalid, since the comma would end
   * the field that holds the name in a cache request.
   */
  private RequestClass requestClass(String name) throws MalformedMessageException {
    RequestClass requestClass = requestClasses.get(SettingsReader.normalizeName(name));
    if (name.indexOf(',') >= 0) {
      throw new MalformedMessageException("request class", name, "a name without commas");
    }
    if (requestClass == null) {
      throw new MalformedMessageException(
          "request class", name, "the name of a request class in the settings");
    }
    return requestClass;
  }

  /** Ends a request whose client no longer waits, without a response. */
  void onClientCancelled(PendingRequest pending) {
    outcomeHandler.onClientCancelled(pending);
  }

  /** Drops the unsent attempts of a request whose client closed its side and may be gone. */
  void onClientDisconnected(PendingRequest pending) {
    outcomeHandler.onClientDisconnected(pending);
  }

  /** Sends the final response of every request in flight now. */
  void finishAll() {
    List.copyOf(pendingById.values()).forEach(outcomeHandler::onDeadline);
  }

  /** Removes a request that got its final response, or needs none. */
  void onRequestFinished(PendingRequest pending) {
    pending.client.onRequestFinished(pending);
    pendingById.remove(pending.id());
    inFlight = pendingById.size();
  }
}
