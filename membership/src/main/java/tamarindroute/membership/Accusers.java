package tamarindroute.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Members that still regard the local member as suspect or faulty although it refuted the suspicion
 * long ago, each with the time of its last message that said so.
 *
 * <p>Ordered by that time, oldest first. Bounded: a full list drops its oldest entry.
 */
final class Accusers {

  /** Bound on the memory used; two accusers suffice to make the local member isolated. */
  private static final int MAX_ACCUSERS = 8;

  private final Map<Address, Long> lastAccusedNanos = new LinkedHashMap<>();

  Accusers copy() {
    Accusers copy = new Accusers();
    copy.lastAccusedNanos.putAll(lastAccusedNanos);
    return copy;
  }

  /** Records that a member has just accused the local member, and makes it the newest entry. */
  void add(Address accuser, long nowNanos) {
    // A LinkedHashMap keeps the position of a key that is put again, so it is removed first.
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

  /** Returns the accuser whose last accusation is the oldest, or empty if there is none. */
  Optional<Address> oldest() {
    return lastAccusedNanos.keySet().stream().findFirst();
  }

  /** Returns the number of members that accused the local member within the given time. */
  long countWithin(long maxAgeNanos, long nowNanos) {
    return lastAccusedNanos.values().stream()
        .filter(accusedNanos -> nowNanos - accusedNanos <= maxAgeNanos)
        .count();
  }

  /** Returns the accusers with the ages of their accusations, without expired accusations. */
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
