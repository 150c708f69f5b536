package tamarindroute.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;
import tamarindroute.protocol.QuotedValue;

/**
 * Decodes the settings of an instance, for every front end alike. Keys that nobody reads are
 * skipped. A value that is absent or an unknown keyword counts as the default that is stated with
 * it.
 */
public final class SettingsReader {

  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Where the settings name no kind of machine for a tier. */
  private static final int NO_KIND = -1;

  private final SettingsValues values;
  private final RequestClassReader requestClassReader;

  /**
   * Creates a reader.
   *
   * @param valuesByKey values as the simulator's lines spell them: lists joined by commas,
   *     durations in nanoseconds
   */
  public SettingsReader(Map<String, String> valuesByKey) {
    this.values = new SettingsValues(valuesByKey);
    this.requestClassReader = new RequestClassReader(values);
  }

  /** Creates a reader from lines of the form {@code key=value}. */
  public static SettingsReader ofLines(String text) throws MalformedSettingsException {
    Map<String, String> valuesByKey = new TreeMap<>();
    for (String line : text.split("\n", -1)) {
      int separator = line.indexOf('=');
      if (separator < 0 && !line.isBlank()) {
        throw new MalformedSettingsException("a settings line without '=': " + line);
      }
      if (separator > 0) {
        valuesByKey.put(
            line.substring(0, separator).strip(), line.substring(separator + 1).strip());
      }
    }
    return new SettingsReader(valuesByKey);
  }

  /**
   * Refuses settings by which no gateway could work. Settings that come as the simulator's lines
   * need no validation.
   *
   * @return warnings, one line each, of values that count as something else
   * @throws MalformedSettingsException with the key and the value of the first that is refused
   */
  public List<String> validate() throws MalformedSettingsException {
    return new SettingsValidator(values.byKey()).validate();
  }

  /** A name or value as the lines spell it, where spaces and commas have another use. */
  public static String normalizeName(String text) {
    return text.replace(' ', '_').replace(',', '_');
  }

  /** A value as messages quote it: on one line, and shortened. */
  public static String abbreviate(String value) {
    return QuotedValue.abbreviate(value);
  }

  /** The request classes in their order. */
  public List<RequestClass> requestClasses() throws MalformedSettingsException {
    return requestClassReader.requestClasses();
  }

  /** The names of the request classes in their order, normalized. */
  public List<String> requestClassNames() throws MalformedSettingsException {
    return requestClassReader.names();
  }

  /**
   * The request classes by their normalized names; those of one name take the strictest values of
   * all.
   */
  public Map<String, RequestClass> requestClassesByName() throws MalformedSettingsException {
    return requestClassReader.requestClassesByName();
  }

  /** The longest deadline of any request class. */
  public Duration longestDeadline() throws MalformedSettingsException {
    return requestClassReader.longestDeadline();
  }

  /**
   * What a routing policy reads of the settings.
   *
   * @param seed seed of the policy's random numbers
   */
  public PolicySettings settings(long seed) throws MalformedSettingsException {
    return new PolicySettingsReader(values).read(seed);
  }

  /** Index of the parents' kind of machine; -1 without parents. */
  public int parentKind() throws MalformedSettingsException {
    return values.integer(SettingsKeys.PARENT_KIND, NO_KIND);
  }

  /** Index of the origin's kind of machine; -1 without an origin. */
  public int originKind() throws MalformedSettingsException {
    return values.integer(SettingsKeys.ORIGIN_KIND, NO_KIND);
  }

  /** The zones' names in their order. */
  public List<String> zones() {
    return values.list(SettingsKeys.ZONES);
  }

  /** The kinds of machine in their order. */
  public List<String> kinds() {
    return values.list(SettingsKeys.CACHE_KINDS);
  }

  /** The fields of load reports in the order in which the simulator writes them. */
  public List<String> reportFields() {
    return values.list(SettingsKeys.REPORT_FIELDS);
  }

  /** Whether the list of caches comes only to those who subscribe to it. */
  public boolean mustSubscribe() {
    return values
        .text(SettingsKeys.DISCOVERY, SettingsKeys.DEFAULT_DISCOVERY)
        .equals(SettingsKeys.DISCOVERY_BY_SUBSCRIPTION);
  }

  /** Time within which to subscribe to the list of caches. */
  public Duration subscribeWithin() throws MalformedSettingsException {
    return values.duration(SettingsKeys.SUBSCRIBE_WITHIN_NANOS, Duration.ZERO);
  }

  /** Most requests that a gateway may have in flight. */
  public int maxInFlight() throws MalformedSettingsException {
    return values.integer(SettingsKeys.MAX_IN_FLIGHT, Integer.MAX_VALUE);
  }

  /** Whether two attempts of one request may be in flight at once. */
  public boolean hedgingAllowed() throws MalformedSettingsException {
    return values.flag(SettingsKeys.HEDGING_ALLOWED);
  }

  /** Most requests that one connection to a cache carries. */
  public int maxRequestsPerConnection() throws MalformedSettingsException {
    return values.integer(SettingsKeys.MAX_REQUESTS_PER_CONNECTION, Integer.MAX_VALUE);
  }

  /** Time within which a connection to a cache must be up. */
  public Duration connectTimeout() throws MalformedSettingsException {
    return values.duration(SettingsKeys.CONNECT_TIMEOUT_NANOS, DEFAULT_CONNECT_TIMEOUT);
  }

  /** Time after which caches close an idle connection; zero if they don't. */
  public Duration keepAlive() throws MalformedSettingsException {
    return values.duration(SettingsKeys.KEEP_ALIVE_NANOS, Duration.ZERO);
  }

  /** Whether the other one was created from the same values. */
  @Override
  public boolean equals(Object other) {
    return other instanceof SettingsReader reader && values.equals(reader.values);
  }

  @Override
  public int hashCode() {
    return values.hashCode();
  }
}
