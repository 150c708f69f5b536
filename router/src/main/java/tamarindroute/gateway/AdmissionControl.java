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
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * The second stage: makes a view in hand of a call, sets its cut-off, and turns away what cannot be
 * one, at once and harmlessly, since nothing has run. It must never turn away for any reason but
 * bad fields, memory, or the number of views that the settings or the protocol allow.
 */
final class AdmissionControl {

  /** The protocol's figures: digits of ids and of keys, the last group. */
  private static final int ID_DIGITS = 16;

  private static final int IDEMPOTENCY_KEY_DIGITS = 32;
  private static final int MAX_GROUP = 255;

  /** A part of a gigabyte is none: an answer has 240,000 bytes at most. */
  private static final double MAX_SIZE_KB = 1e6;

  /**
   * No client waits so many times the longest cut-off that the settings tell; it is a figure gone
   * wrong.
   */
  private static final int MAX_BUDGET_MULTIPLE = 20;

  private final EventLoop eventLoop;
  private final Router router;
  private final OutcomeHandler outcomeHandler;

  /** By their names as the settings spell them, without spaces and commas. */
  private final Map<String, RequestClass> requestClasses;

  private final int maxInFlight;
  private final double maxBudgetMillis;

  /** The views in hand by their ids. */
  private final Map<String, PendingRequest> pendingById = new HashMap<>();

  private volatile int inFlight;
  private boolean ready;
  private boolean draining;

  AdmissionControl(
      SettingsReader settings, EventLoop eventLoop, Router router, OutcomeHandler outcomeHandler)
      throws MalformedSettingsException {
    this.eventLoop = eventLoop;
    this.router = router;
    this.outcomeHandler = outcomeHandler;
    this.requestClasses = settings.requestClassesByName();
    this.maxInFlight = settings.maxInFlight();
    this.maxBudgetMillis = MAX_BUDGET_MULTIPLE * settings.longestDeadline().toMillis();
  }

  /** Whether clients may be sent here; what comes all the same is served. */
  boolean ready() {
    return ready;
  }

  void ready(boolean isReady) {
    ready = isReady;
  }

  /** Whether the gateway is past taking in. */
  boolean draining() {
    return draining;
  }

  /**
   * From now on all is turned away, and a client's connection goes when the last that is open on it
   * ends.
   */
  void startDraining() {
    draining = true;
  }

  int inFlight() {
    return inFlight;
  }

  /** Takes a call, or turns it away; false where its fields could not be used. */
  boolean admit(
      ClientConnection client, ClientConnection.ClientCall call, boolean withinConnectionLimit) {
    PendingRequest pending = null;
    if (draining || client.responses.connection.isAbandoned()) {
      // Sent on, it would be out when this gateway ends, or for a client that is not there.
      call.body().forEach(IoBuffer::free);
      client.responses.send(call.tag(), "NAK");
      return true;
    }
    boolean hasCapacity = !call.overCapacity() && pendingById.size() < maxInFlight;
    if (!hasCapacity) {
      Log.info("no-room", pendingById.size() + " views in hand");
    } else {
      try {
        pending = withinConnectionLimit ? parseRequest(client, call) : null;
      } catch (MalformedMessageException e) {
        Log.info("bad-fields", e.getMessage());
      }
    }
    if (pending == null) {
      call.body().forEach(IoBuffer::free);
      client.responses.send(call.tag(), "NAK");
      return !hasCapacity || !withinConnectionLimit;
    }
    PendingRequest admittedRequest = pending;
    client.pendingByTag.put(pending.tag, pending);
    pendingById.put(pending.id, pending);
    inFlight = pendingById.size();
    pending.deadlineTimer =
        eventLoop.schedule(
            pending.timeLeft(eventLoop.now()), () -> outcomeHandler.onDeadline(admittedRequest));
    router.route(pending);
    return true;
  }

  /**
   * Reads what a cache could use, and no more: what none could would end its connection, others'
   * views too.
   */
  private PendingRequest parseRequest(ClientConnection client, ClientConnection.ClientCall call)
      throws MalformedMessageException {
    RequestClass requestClass =
        requestClasses.get(SettingsReader.normalizeName(call.requestClass()));
    if (requestClass == null || call.requestClass().indexOf(',') >= 0) {
      throw new MalformedMessageException("no such profile");
    }
    FieldList fields = FieldList.parse(call.fields());
    String id = hexField(fields, "rid", ID_DIGITS);
    String objectId = hexField(fields, "obj", ID_DIGITS);
    String idempotencyKey = hexField(fields, "token", IDEMPOTENCY_KEY_DIGITS);
    String clientCopyTag = hexField(fields, "ver", ID_DIGITS);
    if (id == null || objectId == null || fields.text("budget") == null) {
      throw new MalformedMessageException("no id, no object or no time to wait");
    }
    if (idempotencyKey == null && requestClass.idempotency() == RequestClass.Idempotency.KEYED) {
      throw new MalformedMessageException("no number in a numbered profile");
    }
    if (pendingById.containsKey(id)) {
      throw new MalformedMessageException("an id that is open");
    }
    double budget = fields.number("budget", 0, maxBudgetMillis);
    if (budget == 0) {
      throw new MalformedMessageException("no time to wait");
    }
    Duration arrived = client.responses.connection.receivedAt();
    Request request =
        new Request(
            requestClass,
            Long.parseUnsignedLong(objectId, 16),
            fields.integer("piece", Integer.MAX_VALUE),
            fields.integer("lot", MAX_GROUP),
            fields.number("mem", 0, MAX_SIZE_KB),
            arrived,
            arrived.plusNanos((long) (budget * 1e6)));
    return new PendingRequest(client, call, request, id, objectId, idempotencyKey, clientCopyTag);
  }

  /** So many hexadecimal digits; null where the field is absent. */
  private static String hexField(FieldList fields, String name, int digits)
      throws MalformedMessageException {
    String text = fields.text(name);
    if (text != null
        && (text.length() != digits
            || !text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128))) {
      throw new MalformedMessageException(name + " is not of " + digits + " hexadecimal digits");
    }
    return text;
  }

  /** The client waits no more: nothing is owed. */
  void onClientCancelled(PendingRequest pending) {
    outcomeHandler.onClientCancelled(pending);
  }

  /** Nobody may wait for it any more: what has not gone out does not. */
  void onClientDisconnected(PendingRequest pending) {
    outcomeHandler.onClientDisconnected(pending);
  }

  /** The end has come: whatever is in hand gets its final answer now. */
  void finishAll() {
    List.copyOf(pendingById.values()).forEach(outcomeHandler::onDeadline);
  }

  /** A view got its final answer, or wants none. */
  void onRequestFinished(PendingRequest pending) {
    pending.client.onRequestFinished(pending);
    pendingById.remove(pending.id);
    inFlight = pendingById.size();
  }
}
