package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** One gateway: its views in hand, its timers and the ids at its door. It decides nothing. */
final class SimulatedGateway {

  /** A view in hand, or one that is over with trips still out. */
  private static final class PendingRequest {
    final int requestId;
    final Request request;
    int attemptsInFlight;
    int timerGeneration;
    boolean finished;

    PendingRequest(int requestId, Request request) {
      this.requestId = requestId;
      this.request = request;
    }
  }

  private static final long LIST_TIMER_COOKIE = 1L << 62;
  private static final Detail[] DETAILS = Detail.values();

  private final int instance;
  private final long openedNanos;
  private final int parentKind;
  private final int originKind;
  private final Duration listRequestInterval;
  private final List<RequestClass> requestClasses;
  private final List<String> reportFields;
  private final RoutingPolicy policy;
  private final ActionWriter actions;
  private final Map<Integer, PendingRequest> pendingRequests = new HashMap<>();
  private final TreeMap<Long, Cache> caches = new TreeMap<>();

  SimulatedGateway(
      int instance,
      long openedNanos,
      SettingsReader settings,
      RoutingPolicy policy,
      ActionWriter actions)
      throws MalformedSettingsException {
    this.instance = instance;
    this.openedNanos = openedNanos;
    this.parentKind = settings.parentKind();
    this.originKind = settings.originKind();
    this.listRequestInterval = settings.subscribeWithin();
    this.requestClasses = settings.requestClasses();
    this.reportFields = settings.reportFields();
    this.policy = policy;
    this.actions = actions;
    if (settings.mustSubscribe()) {
      actions.subscribeToList(instance);
    }
  }

  void handleEvent(int code, ByteBuffer record, ByteBuffer list, long clock)
      throws MalformedFrameException {
    Duration now = Duration.ofNanos(clock - openedNanos);
    switch (code) {
      case 17 -> onEndpoints(record, list, clock, now);
      case 18 -> onArrival(record, now);
      case 19 -> onStarted(record);
      case 20 -> onOutcome(record, now);
      case 21 -> onClientGone(record);
      case 22 -> onTimer(record.getLong(3), now);
      case 23 -> onLoadReport(cache(record.getInt(3)), record, 17, now);
      case 24 -> {}
      case 26 -> onPurge(record, now);
      default -> throw new MalformedFrameException("no open instance gets the event code " + code);
    }
  }

  private void onEndpoints(ByteBuffer record, ByteBuffer list, long clock, Duration now)
      throws MalformedFrameException {
    int listKind = record.get(7);
    if (listKind == 3) {
      // A broken subscription is asked for again well within the time that the settings allow.
      actions.setTimer(instance, clock + listRequestInterval.toNanos() / 4, LIST_TIMER_COOKIE);
      return;
    }
    if (listKind < 0 || listKind > 3) {
      throw new MalformedFrameException("no list news is of the kind " + listKind);
    }
    Set<Cache> listed = new HashSet<>();
    while (list.hasRemaining()) {
      Cache cache = caches.computeIfAbsent(Integer.toUnsignedLong(list.getInt()), Cache::new);
      cache.zone = Byte.toUnsignedInt(list.get());
      int state = list.get();
      if (state < 0 || state > 2) {
        throw new MalformedFrameException("no cache has the availability " + state);
      }
      cache.availability =
          switch (state) {
            case 2 -> Cache.Availability.READY;
            case 1 -> Cache.Availability.DRAINING;
            default -> Cache.Availability.GONE;
          };
      cache.cell = Short.toUnsignedInt(list.getShort());
      long startedNanos = list.getLong();
      cache.startedAt = startedNanos == 0 ? null : Duration.ofNanos(startedNanos - openedNanos);
      int kind = Byte.toUnsignedInt(list.get());
      cache.tier =
          kind == originKind
              ? Cache.Tier.ORIGIN
              : kind == parentKind ? Cache.Tier.PARENT : Cache.Tier.EDGE;
      cache.weight = list.getFloat();
      listed.add(cache);
    }
    if (listKind != 0) {
      for (Cache cache : caches.values()) {
        if (!listed.contains(cache)) {
          cache.availability = Cache.Availability.GONE;
        }
      }
    }
    policy.onEndpoints(new ArrayList<>(caches.values()), now);
  }

  private void onArrival(ByteBuffer record, Duration now) throws MalformedFrameException {
    int classIndex = Short.toUnsignedInt(record.getShort(7));
    if (classIndex >= requestClasses.size()) {
      throw new MalformedFrameException("no class stands at " + classIndex);
    }
    Request request =
        new Request(
            requestClasses.get(classIndex),
            record.getLong(12),
            (int) record.getFloat(28),
            (int) record.getFloat(32),
            record.getFloat(36),
            now,
            now.plusNanos(record.getLong(20)));
    PendingRequest arrived = new PendingRequest(record.getInt(3), request);
    pendingRequests.put(arrived.requestId, arrived);
    act(arrived, policy.route(request, now), now);
  }

  /** Writes an answer and sets the timer for the next question, if one is due. */
  private void act(PendingRequest pending, Decision decision, Duration now) {
    pending.timerGeneration++;
    if (decision instanceof Attempt attempt) {
      attempt.sentAt = now;
      pending.request.attempts.add(attempt);
      pending.attemptsInFlight++;
      actions.send(instance, pending.requestId, attempt);
    } else if (decision instanceof Decision.Cancel cancel) {
      actions.cancel(
          instance, pending.requestId, pending.request.attempts.indexOf(cancel.attempt()));
    } else if (decision instanceof Decision.Reject dismissal) {
      actions.reject(instance, pending.requestId, dismissal.retryAfter());
      finish(pending);
    } else if (decision instanceof Decision.Fail) {
      actions.fail(instance, pending.requestId);
      finish(pending);
    }
    if (!pending.finished) {
      Duration delay = policy.nextDecisionDelay(pending.request, now);
      if (delay != null) {
        long cookie =
            Integer.toUnsignedLong(pending.requestId) << 24 | pending.timerGeneration & 0xffffff;
        actions.setTimer(instance, openedNanos + now.plus(delay).toNanos(), cookie);
      }
    }
  }

  private void finish(PendingRequest pending) {
    pending.finished = true;
    if (pending.attemptsInFlight == 0) {
      pendingRequests.remove(pending.requestId);
    }
  }

  private void onStarted(ByteBuffer record) {
    PendingRequest pending = pendingRequests.get(record.getInt(3));
    if (pending != null) {
      pending.timerGeneration++;
    }
  }

  private void onOutcome(ByteBuffer record, Duration now) throws MalformedFrameException {
    PendingRequest pending = pendingRequests.get(record.getInt(3));
    int attemptIndex = Byte.toUnsignedInt(record.get(7));
    Result result =
        switch (record.getShort(12)) {
          case 10 -> Result.SERVED;
          case 20 -> Result.FAILED;
          case 30 -> Result.REJECTED;
          case 40 -> Result.TIMED_OUT;
          case 50 -> Result.CONNECT_FAILED;
          case 60 -> Result.CONNECTION_LOST;
          case 70 -> Result.CANCELLED;
          case 80 -> Result.NOT_SENT;
          case 90 -> Result.MISS;
          default ->
              throw new MalformedFrameException("no outcome has the code " + record.getShort(12));
        };
    onLoadReport(cache(record.getInt(8)), record, 35, now);
    if (pending == null
        || attemptIndex >= pending.request.attempts.size()
        || pending.request.attempts.get(attemptIndex).outcome != null) {
      return;
    }
    int detail = record.getInt(23);
    long sourceWait = record.getLong(27);
    boolean closed = pending.finished || record.get(22) != 0;
    Attempt attempt = pending.request.attempts.get(attemptIndex);
    attempt.outcome =
        new Outcome(
            result,
            detail > 0 && detail < DETAILS.length ? DETAILS[detail] : Detail.UNKNOWN,
            Duration.ofNanos(record.getLong(14)),
            sourceWait == 0 ? null : Duration.ofNanos(sourceWait),
            closed);
    pending.attemptsInFlight--;
    Decision decision = policy.onOutcome(pending.request, attempt, now);
    if (closed) {
      pending.finished = true;
    }
    act(pending, decision, now);
    if (pending.finished) {
      finish(pending);
    }
  }

  private void onClientGone(ByteBuffer record) {
    PendingRequest pending = pendingRequests.get(record.getInt(3));
    if (pending != null) {
      finish(pending);
    }
  }

  private void onTimer(long cookie, Duration now) {
    if (cookie == LIST_TIMER_COOKIE) {
      actions.subscribeToList(instance);
      return;
    }
    PendingRequest pending = pendingRequests.get((int) (cookie >>> 24));
    if (pending != null
        && !pending.finished
        && (pending.timerGeneration & 0xffffff) == (cookie & 0xffffff)) {
      act(pending, policy.route(pending.request, now), now);
    }
  }

  private void onPurge(ByteBuffer record, Duration now) {
    long object = record.getLong(3);
    policy.onPurge(
        new Purge(
            object == 0 ? null : object,
            Short.toUnsignedInt(record.getShort(11)),
            now.minusNanos(record.getLong(13))),
        now);
  }

  private Cache cache(int id) throws MalformedFrameException {
    Cache cache = caches.get(Integer.toUnsignedLong(id));
    if (cache == null) {
      throw new MalformedFrameException(
          "no list has named the cache " + Integer.toUnsignedString(id));
    }
    return cache;
  }

  private void onLoadReport(Cache cache, ByteBuffer record, int at, Duration now) {
    LoadReport loadReport =
        new LoadReport(value(record, at, "utilization"), value(record, at, "outstanding"));
    if (loadReport.hasValues()) {
      policy.onLoadReport(cache, loadReport, now);
    }
  }

  /** A value of the load report; not a number where it is not told. */
  private double value(ByteBuffer record, int at, String name) {
    int place = reportFields.indexOf(name);
    return place < 0 || place >= record.get(at) ? Double.NaN : record.getFloat(at + 1 + 4 * place);
  }
}
