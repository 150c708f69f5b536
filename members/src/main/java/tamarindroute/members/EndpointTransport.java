package tamarindroute.members;

import java.time.Duration;
import java.util.Map;
import tamarindroute.members.agreed.AgreedViewService;
import tamarindroute.members.shares.QuotaLeases;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;

/**
 * Adapts the endpoint to what the agreed view and the shared quotas need of it.
 *
 * @param endpoint the adapted endpoint
 */
record EndpointTransport(MembershipEndpoint endpoint)
    implements AgreedViewService.LocalMembership, QuotaLeases.PeerTransport {

  /** Sends to whatever incarnation is there; the agreement's messages name theirs themselves. */
  private static final long ANY_INCARNATION = 0;

  @Override
  public Member self() {
    return endpoint.self();
  }

  @Override
  public Map<Member, MemberState> members() {
    return endpoint.members();
  }

  @Override
  public boolean isConnected() {
    return endpoint.localStatus().isConnected();
  }

  @Override
  public void send(Address to, byte[] bytes) {
    endpoint.send(new Member(to, ANY_INCARNATION), new MemberMessage.AgreementPayload(bytes));
  }

  @Override
  public void send(Member to, MemberMessage.LeasePayload lease) {
    endpoint.send(to, lease);
  }

  @Override
  public void probe(
      Address address, MemberMessage.LeasePayload lease, Duration timeout, Runnable onRefused) {
    endpoint.probeForRefusal(address, lease, timeout, onRefused);
  }
}
