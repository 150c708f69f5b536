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
 * The voter in a gateway or a witness: answers the grant requests of candidates and keeps one grant
 * per virtual router.
 */
final class GrantService {

  private final Set<Integer> virtualIds;
  private final Duration grantDuration;
  private final Map<Integer, VoterGrant> grantByVirtualId = new HashMap<>();

  /**
   * Starts a voter.
   *
   * @param virtualIds virtual routers to vote for
   * @param grantDuration how long a grant lasts; must be the same at all voters and candidates
   */
  GrantService(Set<Integer> virtualIds, Duration grantDuration) {
    this.virtualIds = Set.copyOf(virtualIds);
    this.grantDuration = grantDuration;
    virtualIds.forEach(
        id -> grantByVirtualId.put(id, VoterGrant.started(grantDuration, MonotonicClock.now())));
  }

  /**
   * Handles a candidate's message.
   *
   * @return the answer to a request; null for other messages, and for messages whose virtual router
   *     is unknown or whose grant duration differs from the configured one
   */
  GrantMessage onMessage(GrantMessage message, InetSocketAddress from) {
    if (!virtualIds.contains(message.virtualId())
        || !message.grantDuration().equals(grantDuration)) {
      return null;
    }
    long candidate = VrrpEndpoint.tieBreaker(from);
    VoterGrant grant = grantByVirtualId.get(message.virtualId());
    switch (message.type()) {
      case REQUEST -> {
        VoterGrant.Response response =
            grant.request(candidate, grantDuration, MonotonicClock.now());
        grantByVirtualId.put(message.virtualId(), response.grant());
        return new GrantMessage(
            response.granted() ? GrantMessage.MessageType.GRANTED : GrantMessage.MessageType.DENIED,
            message.virtualId(),
            grantDuration,
            message.requestToken());
      }
      case RELEASE ->
          grantByVirtualId.put(message.virtualId(), grant.release(candidate, MonotonicClock.now()));
      default -> {}
    }
    return null;
  }
}
