package tamarindroute.standby;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tamarindroute.host.MonotonicClock;
import tamarindroute.vrrp.Ballot;
import tamarindroute.vrrp.Grants;

/**
 * One voter's grants for all virtual routers that it knows of; a gateway has one, a witness is
 * nothing else.
 */
final class Booth {

  private final Set<Integer> virtualIds;
  private final Duration span;
  private final Map<Integer, Grants> grants = new HashMap<>();

  /** The span is the same at all voters and candidates, by the settings. */
  Booth(Set<Integer> virtualIds, Duration span) {
    this.virtualIds = Set.copyOf(virtualIds);
    this.span = span;
    virtualIds.forEach(id -> grants.put(id, Grants.started(span, MonotonicClock.now())));
  }

  /** What is answered to a candidate; null for nothing. */
  Ballot taken(Ballot ballot, InetSocketAddress from) {
    if (!virtualIds.contains(ballot.virtualId()) || !ballot.span().equals(span)) {
      return null;
    }
    long candidate = Endpoint.order(from);
    Grants before = grants.get(ballot.virtualId());
    switch (ballot.kind()) {
      case ASKED -> {
        Grants.Answer answer = before.asked(candidate, span, MonotonicClock.now());
        grants.put(ballot.virtualId(), answer.grants());
        return new Ballot(
            answer.granted() ? Ballot.Kind.GRANTED : Ballot.Kind.DENIED,
            ballot.virtualId(),
            span,
            ballot.mark());
      }
      case RETURNED ->
          grants.put(ballot.virtualId(), before.returned(candidate, MonotonicClock.now()));
      default -> {}
    }
    return null;
  }
}
