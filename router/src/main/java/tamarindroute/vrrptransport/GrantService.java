package tamarindroute.vrrptransport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import tamarindroute.host.MonotonicClock;
import tamarindroute.vrrp.GrantMessage;
import tamarindroute.vrrp.VoterGrant;

/**
 * One voter's grants for all virtual routers that it knows of; a gateway has one, a witness is
 * nothing else.
 */
final class GrantService {

  private final Set<Integer> virtualIds;
  private final Duration span;
  private final Map<Integer, VoterGrant> grants = new HashMap<>();

  /** The span is the same at all voters and candidates, by the settings. */
  GrantService(Set<Integer> virtualIds, Duration span) {
    this.virtualIds = Set.copyOf(virtualIds);
    this.span = span;
    virtualIds.forEach(id -> grants.put(id, VoterGrant.started(span, MonotonicClock.now())));
  }

  /** What is answered to a candidate; null for nothing. */
  GrantMessage onMessage(GrantMessage message, InetSocketAddress from) {
    if (!virtualIds.contains(message.virtualId()) || !message.span().equals(span)) {
      return null;
    }
    long candidate = VrrpEndpoint.tieBreaker(from);
    VoterGrant before = grants.get(message.virtualId());
    switch (message.type()) {
      case REQUEST -> {
        VoterGrant.Response answer = before.request(candidate, span, MonotonicClock.now());
        grants.put(message.virtualId(), answer.grant());
        return new GrantMessage(
            answer.granted() ? GrantMessage.MessageType.GRANTED : GrantMessage.MessageType.DENIED,
            message.virtualId(),
            span,
            message.requestToken());
      }
      case RELEASE ->
          grants.put(message.virtualId(), before.release(candidate, MonotonicClock.now()));
      default -> {}
    }
    return null;
  }
}
