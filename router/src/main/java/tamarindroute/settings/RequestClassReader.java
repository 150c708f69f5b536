package tamarindroute.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.decision.RequestClass;

/** Decodes the request classes of the settings. */
final class RequestClassReader {

  private final SettingsValues values;

  RequestClassReader(SettingsValues values) {
    this.values = values;
  }

  private int count() throws MalformedSettingsException {
    double count = values.number(SettingsKeys.CLASS_COUNT, 0);
    return (int) Math.min(SettingsValidator.MAX_CLASSES, count);
  }

  /** Names in the order of the classes; empty where a class has none. */
  List<String> names() throws MalformedSettingsException {
    List<String> names = new ArrayList<>();
    int count = count();
    for (int i = 0; i < count; i++) {
      names.add(values.text(SettingsKeys.ofClass(i, SettingsKeys.CLASS_NAME), ""));
    }
    return names;
  }

  /** The classes in their order. */
  List<RequestClass> requestClasses() throws MalformedSettingsException {
    List<RequestClass> requestClasses = new ArrayList<>();
    int count = count();
    for (int i = 0; i < count; i++) {
      requestClasses.add(requestClass(i));
    }
    return requestClasses;
  }

  private RequestClass requestClass(int index) throws MalformedSettingsException {
    RequestClass.Idempotency idempotency =
        values.keyword(
            SettingsKeys.ofClass(index, SettingsKeys.CLASS_IDEMPOTENCY),
            SettingsKeys.DEFAULT_IDEMPOTENCY,
            SettingsKeys.IDEMPOTENCIES);
    RequestClass.DeduplicationScope deduplicationScope =
        values.keyword(
            SettingsKeys.ofClass(index, SettingsKeys.CLASS_DEDUPLICATION_SCOPE),
            SettingsKeys.DEFAULT_DEDUPLICATION_SCOPE,
            SettingsKeys.DEDUPLICATION_SCOPES);
    return new RequestClass(
        idempotency,
        deduplicationScope,
        duration(index, SettingsKeys.CLASS_DEDUPLICATION_WINDOW_NANOS),
        duration(index, SettingsKeys.CLASS_LATENCY_OBJECTIVE_NANOS),
        values.number(SettingsKeys.ofClass(index, SettingsKeys.CLASS_TRANSFER_TIME_FACTOR), 0),
        isCacheable(index, idempotency),
        Duration.ofNanos((long) values.itemNumber(SettingsKeys.CLASS_MAX_AGE_NANOS, index)));
  }

  private Duration duration(int index, String field) throws MalformedSettingsException {
    return values.duration(SettingsKeys.ofClass(index, field), Duration.ZERO);
  }

  /** Where the settings don't say, only idempotent classes are. */
  private boolean isCacheable(int index, RequestClass.Idempotency idempotency) {
    String neverCached = values.item(SettingsKeys.CLASS_NEVER_CACHED, index, null);
    if (neverCached == null) {
      return idempotency == RequestClass.Idempotency.IDEMPOTENT;
    }
    return !neverCached.equals(SettingsKeys.TRUE);
  }

  /**
   * The classes by their names. Two of one name can't be told apart in a request, so each takes the
   * strictest values of both.
   */
  Map<String, RequestClass> requestClassesByName() throws MalformedSettingsException {
    Map<String, RequestClass> byName = new LinkedHashMap<>();
    List<RequestClass> requestClasses = requestClasses();
    List<String> names = names();
    for (int i = 0; i < names.size(); i++) {
      byName.merge(names.get(i), requestClasses.get(i), RequestClassReader::strictestOf);
    }
    return byName;
  }

  private static RequestClass strictestOf(RequestClass first, RequestClass second) {
    return new RequestClass(
        laterOf(first.idempotency(), second.idempotency()),
        laterOf(first.deduplicationScope(), second.deduplicationScope()),
        shorterOf(first.deduplicationWindow(), second.deduplicationWindow()),
        shorterOf(first.latencyObjective(), second.latencyObjective()),
        Math.min(first.transferTimeFactor(), second.transferTimeFactor()),
        first.cacheable() && second.cacheable(),
        shorterMaxAge(first.maxAge(), second.maxAge()));
  }

  /** The enums list their constants from the least strict to the strictest. */
  private static <E extends Enum<E>> E laterOf(E first, E second) {
    return first.compareTo(second) > 0 ? first : second;
  }

  private static Duration shorterOf(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  /** Zero is no bound. */
  private static Duration shorterMaxAge(Duration first, Duration second) {
    if (first.isZero()) {
      return second;
    }
    return second.isZero() ? first : shorterOf(first, second);
  }

  /** The longest deadline of any class; zero without classes. */
  Duration longestDeadline() throws MalformedSettingsException {
    Duration longest = Duration.ZERO;
    int count = count();
    for (int i = 0; i < count; i++) {
      Duration deadline = duration(i, SettingsKeys.CLASS_DEADLINE_NANOS);
      longest = deadline.compareTo(longest) > 0 ? deadline : longest;
    }
    return longest;
  }
}
