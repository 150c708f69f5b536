package tamarindroute.dns;

import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;

/** A cache that an answer may name, and what the routing policy of the location knows of it. */
record Candidate(Cache cache, DnsSettings.CacheAddress address, CacheHealth health) {}
