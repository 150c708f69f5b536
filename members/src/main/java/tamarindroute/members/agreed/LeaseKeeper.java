package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.log.Log;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Holds the view under its lease, asks the voters for it in time, and tells operators what is held
 * and what not.
 */
final class LeaseKeeper {

  /** As voters grant it; how often they are asked follows from it. */
  static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /**
   * At the start a first answer takes a founding of the group and an asking; after that operators
   * are told.
   */
  private static final Duration FIRST_RESPONSE_TIMEOUT = Duration.ofSeconds(10);

  private final List<Address> voters;
  private final VoterTransport transport;
  private final Duration startedAt;
  private ViewLease lease;
  private Optional<Member> leader = Optional.empty();
  private String lastLogged = "";
  private boolean expiryLogged;

  LeaseKeeper(Member self, List<Address> voters, VoterTransport transport, Duration now) {
    this.voters = List.copyOf(voters);
    this.transport = transport;
    this.startedAt = now;
    this.lease = ViewLease.initial(self);
  }

  /** What may be acted on at this moment; empty: out of touch. */
  Optional<MembershipView> validView(Duration now) {
    return lease.validView(now);
  }

  void tick(Duration now) {
    logChanges(now);
    if (lease.isRequestDue(now, LEASE_DURATION)) {
      Address voter = lease.nextVoter(voters);
      lease = lease.requestSent(now);
      transport.send(voter, AgreementMessageCodec.encodeViewRequest(lease));
    }
  }

  /** Whether one is a voter, as told or as agreed: those alone are believed. */
  boolean isVoter(Address address) {
    return voters.contains(address)
        || lease.view().stream()
            .flatMap(view -> view.voters().stream())
            .anyMatch(voter -> voter.address().equals(address));
  }

  /** Who led when it was last heard. */
  Optional<Address> leader() {
    return leader.map(Member::address);
  }

  /** A voter's answer. */
  void onResponse(ViewResponse response, Duration now) {
    lease = lease.onResponse(response);
    if (response.fromLeader()) {
      leader = response.leader();
    }
    logChanges(now);
  }

  private void logChanges(Duration now) {
    Optional<MembershipView> view = validView(now);
    if (view.isPresent()) {
      expiryLogged = false;
      String summary =
          "view "
              + view.get().number()
              + ", "
              + view.get().members().size()
              + " members, led by "
              + leader.map(Member::toString).orElse("nobody");
      if (!summary.equals(lastLogged)) {
        lastLogged = summary;
        Log.change("agreed", summary);
      }
      return;
    }
    boolean hadView = lease.view().isPresent();
    Duration since = hadView ? lease.expiresAt() : startedAt.plus(FIRST_RESPONSE_TIMEOUT);
    if (!expiryLogged && now.compareTo(since) >= 0) {
      expiryLogged = true;
      lastLogged = "";
      Log.change(
          "agreed",
          "out of touch since "
              + now.minus(hadView ? since : startedAt).toMillis()
              + " ms: what was agreed before is not acted on");
    }
  }
}
