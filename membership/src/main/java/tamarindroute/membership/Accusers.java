package tamarindroute.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Members that still regard this one as suspect or faulty long after it refuted that, with the time
 * of their last such message. Ordered by that time; drops the oldest when full.
 */
final class Accusers {

  private static final int MAX_ACCUSERS = 8;

  private final Map<Address, Long> lastAccusedNanos = new LinkedHashMap<>();

  Accusers copy() {
    Accusers copy = new Accusers();
    copy.lastAccusedNanos.putAll(lastAccusedNanos);
    return copy;
  }

  void add(Address accuser, long nowNanos) {
    // Removed first, so that it moves to the end of the order.
    lastAccusedNanos.remove(accuser);
    lastAccusedNanos.put(accuser, nowNanos);
    if (lastAccusedNanos.size() > MAX_ACCUSERS) {
      lastAccusedNanos.remove(lastAccusedNanos.keySet().iterator().next());
    }
  }

  void remove(Address accuser) {
    lastAccusedNanos.remove(accuser);
  }

  void clear() {
    lastAccusedNanos.clear();
  }

  /** The accuser that has not been heard from for longest. */
  Optional<Address> oldest() {
    return lastAccusedNanos.keySet().stream().findFirst();
  }

  /** How many accused this member within the given time. */
  long countWithin(long maxAgeNanos, long nowNanos) {
    return lastAccusedNanos.values().stream()
        .filter(accusedNanos -> nowNanos - accusedNanos <= maxAgeNanos)
        .count();
  }

  List<Object> stateKey(long maxAgeNanos, long nowNanos) {
    List<Object> key = new ArrayList<>();
    lastAccusedNanos.forEach(
        (accuser, accusedNanos) -> {
          long ageNanos = nowNanos - accusedNanos;
          if (ageNanos <= maxAgeNanos) {
            key.add(List.of(accuser, ageNanos));
          }
        });
    return key;
  }
}
