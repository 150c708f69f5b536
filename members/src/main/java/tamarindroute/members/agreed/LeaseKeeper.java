package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Keeps the lease under which this member may act on the agreed view, by asking the voters. */
final class LeaseKeeper {

  /** Duration of the leases that voters grant. */
  static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /** The first view is expected within this; its absence is logged after it. */
  private static final Duration FIRST_VIEW_TIMEOUT = Duration.ofSeconds(10);

  private final List<Address> voters;
  private final VoterTransport transport;
  private final Duration startedAt;
  private ViewLease lease;

  /** The leader named by the last answer of a leader; null before. */
  private Member leader;

  private String lastLogged = "";
  private boolean expiryLogged;

  LeaseKeeper(Member self, List<Address> voters, VoterTransport transport, Duration now) {
    this.voters = List.copyOf(voters);
    this.transport = transport;
    this.startedAt = now;
    this.lease = ViewLease.initial(self);
  }

  /** The view that may be acted on at this moment, if any. */
  Optional<MembershipView> validView(Duration now) {
    return lease.validView(now);
  }

  /** Asks a voter for the view if it is time to. */
  void tick(Duration now) {
    logChanges(now);
    if (lease.isRequestDue(now, LEASE_DURATION)) {
      Address voter = lease.nextVoter(voters);
      lease = lease.requestSent(now);
      transport.send(voter, AgreementMessageCodec.encodeViewRequest(lease));
    }
  }

  /** Whether an address is a configured or an agreed voter's; answers of others are ignored. */
  boolean isVoter(Address address) {
    return voters.contains(address)
        || lease.view().stream()
            .flatMap(view -> view.voters().stream())
            .anyMatch(voter -> voter.address().equals(address));
  }

  /** The leader's address as last heard. */
  Optional<Address> leader() {
    return Optional.ofNullable(leader).map(Member::address);
  }

  void onResponse(ViewResponse response, Duration now) {
    lease = lease.onResponse(response);
    if (response.fromLeader()) {
      leader = response.leader().orElse(null);
    }
    logChanges(now);
  }

  private void logChanges(Duration now) {
    Optional<MembershipView> view = validView(now);
    if (view.isPresent()) {
      logView(view.get());
    } else {
      logExpiry(now);
    }
  }

  private void logView(MembershipView view) {
    expiryLogged = false;
    String summary = AgreedViewLog.summary(view, Optional.ofNullable(leader));
    if (!summary.equals(lastLogged)) {
      lastLogged = summary;
      AgreedViewLog.viewChanged(summary);
    }
  }

  private void logExpiry(Duration now) {
    boolean hadView = lease.view().isPresent();
    Duration deadline = hadView ? lease.expiresAt() : startedAt.plus(FIRST_VIEW_TIMEOUT);
    if (!expiryLogged && now.compareTo(deadline) >= 0) {
      expiryLogged = true;
      lastLogged = "";
      AgreedViewLog.noValidView(now.minus(hadView ? deadline : startedAt));
    }
  }
}
