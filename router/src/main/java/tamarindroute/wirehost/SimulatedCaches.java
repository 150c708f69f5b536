package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import tamarindroute.decision.Cache;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** The caches that a simulated gateway knows, including those that are gone. */
final class SimulatedCaches {

  private final long openedNanos;
  private final int parentKind;
  private final int originKind;
  private final TreeMap<Long, Cache> cachesById = new TreeMap<>();

  /**
   * Creates an empty set.
   *
   * @param settings that name the kinds of machines of parents and origins
   * @param openedNanos the clock time that is the zero of the policy's times
   * @throws MalformedSettingsException if a kind is not a number
   */
  SimulatedCaches(SettingsReader settings, long openedNanos) throws MalformedSettingsException {
    this.openedNanos = openedNanos;
    this.parentKind = settings.parentKind();
    this.originKind = settings.originKind();
  }

  /** All caches, ordered by their ids. */
  List<Cache> sorted() {
    return new ArrayList<>(cachesById.values());
  }

  /**
   * The cache of this id.
   *
   * @throws MalformedFrameException if no list had it
   */
  Cache get(int id) throws MalformedFrameException {
    Cache cache = cachesById.get(Integer.toUnsignedLong(id));
    if (cache == null) {
      throw new MalformedFrameException("cache " + Integer.toUnsignedString(id) + " is in no list");
    }
    return cache;
  }

  /**
   * Applies a list.
   *
   * @param entries of the list
   * @param complete whether caches that are not in it are gone
   */
  void update(ByteBuffer entries, boolean complete) throws MalformedFrameException {
    Set<Cache> listed = new HashSet<>();
    while (entries.hasRemaining()) {
      listed.add(update(EndpointEntry.read(entries)));
    }
    if (complete) {
      markOthersAsGone(listed);
    }
  }

  private Cache update(EndpointEntry entry) {
    Cache cache = cachesById.computeIfAbsent(entry.id(), Cache::new);
    cache.zone = entry.zone();
    cache.availability = entry.availability();
    cache.cell = entry.cell();
    cache.startedAt =
        entry.startedNanos() == 0 ? null : Duration.ofNanos(entry.startedNanos() - openedNanos);
    cache.tier = tier(entry.kind());
    cache.weight = entry.weight();
    return cache;
  }

  private Cache.Tier tier(int kind) {
    if (kind == originKind) {
      return Cache.Tier.ORIGIN;
    }
    return kind == parentKind ? Cache.Tier.PARENT : Cache.Tier.EDGE;
  }

  private void markOthersAsGone(Set<Cache> listed) {
    for (Cache cache : cachesById.values()) {
      if (!listed.contains(cache)) {
        cache.availability = Cache.Availability.GONE;
      }
    }
  }
}
