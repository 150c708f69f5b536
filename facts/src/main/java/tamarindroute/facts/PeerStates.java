package tamarindroute.facts;

import java.util.LinkedHashMap;
import java.util.Map;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** What peers are known to have, for the peers that deltas were exchanged with most recently. */
final class PeerStates {

  /** Bound of the peers remembered; others are sent everything anew. */
  private static final int MAX_TRACKED_PEERS = 256;

  /**
   * What one peer has.
   *
   * @param knownUpTo by incarnation, the sequence up to which it has all facts
   * @param eventGeneration the feed generation it knows
   * @param eventsUpTo the event number up to which it lacks nothing of that generation
   */
  record PeerState(Map<Member, Long> knownUpTo, long eventGeneration, long eventsUpTo) {}

  private static final PeerState UNKNOWN = new PeerState(Map.of(), 0, 0);

  /** Least recently used first. */
  private final Map<Address, PeerState> states = new LinkedHashMap<>();

  /** Returns what a peer is known to have; nothing if it is not remembered. */
  PeerState get(Address peer) {
    return states.getOrDefault(peer, UNKNOWN);
  }

  /** Remembers what a peer has reported to have. */
  void put(Address peer, PeerState state) {
    states.remove(peer);
    states.put(peer, state);
    if (states.size() > MAX_TRACKED_PEERS) {
      states.remove(states.keySet().iterator().next());
    }
  }

  /** Records what a peer will have after a delta, if the peer is remembered. */
  void onDeltaSent(Address peer, Map<Member, Long> knownUpTo) {
    PeerState previous = states.get(peer);
    if (previous != null) {
      put(peer, new PeerState(knownUpTo, previous.eventGeneration, previous.eventsUpTo));
    }
  }
}
