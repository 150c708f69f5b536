package tamarindroute.dns;

import java.time.Duration;
import java.util.List;
import tamarindroute.decision.Cache;

/** The list of caches as steering needs it. */
public interface CacheDirectory {

  /** Returns the listed caches, without those that are gone. */
  List<Cache> caches();

  /** Returns where clients reach a cache. */
  DnsSettings.CacheAddress address(Cache cache);

  /** Returns whether a complete list has been received. */
  boolean listReceived();

  /** Returns the time since the control feed last sent anything. */
  Duration feedSilence(Duration now);

  /** Returns whether a recent health check found the cache ready. */
  boolean isRecentlyReady(Cache cache, Duration now);
}
