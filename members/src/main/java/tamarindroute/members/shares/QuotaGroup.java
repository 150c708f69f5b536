package tamarindroute.members.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tamarindroute.host.MonotonicClock;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessage.LeaseKind;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;
import tamarindroute.shares.LeaseMessage;
import tamarindroute.shares.QuotaAllocator;

/** One shared quota at one member: the holder's side and, while it leads, the allocator's. */
final class QuotaGroup {

  /** Bounds the sockets that are open for probes at a time. */
  private static final int MAX_PROBES_PER_TICK = 32;

  /** A silent gateway is probed this often in the duration of a lease. */
  private static final int PROBES_PER_LEASE = 4;

  private final QuotaDefinition definition;
  private final QuotaLeases.PeerTransport peers;
  private final LeasePayloadConverter converter;
  private final QuotaUsage usage;
  private final List<Address> gateways;

  /** When a gateway was last heard from or probed. */
  private final Map<Address, Duration> lastContact = new HashMap<>();

  private QuotaAllocator allocator;
  private int nextGateway;
  private boolean stopped;

  QuotaGroup(
      QuotaDefinition definition,
      Scheduler scheduler,
      QuotaLeases.PeerTransport peers,
      QuotaLeases.QuotaGrantListener listener) {
    this.definition = definition;
    this.peers = peers;
    this.converter = new LeasePayloadConverter(definition.number());
    this.usage = new QuotaUsage(definition, scheduler, listener);
    this.gateways = new ArrayList<>(definition.gateways());
    this.allocator = QuotaAllocator.initial(definition.quota(), definition.gateways());
  }

  void tick(Optional<Member> leader) {
    Duration now = MonotonicClock.now();
    usage.ensureHolder(peers.self(), now);
    leader.ifPresent(
        member -> usage.requestIfDue(member, now).ifPresent(request -> deliver(member, request)));
    if (now.compareTo(allocator.leadsUntil()) < 0) {
      probeSilentGateways(now);
    }
    usage.applyShare();
  }

  /**
   * Asks the machines of gateways that were silent lately whether anybody listens there, round
   * robin. No answer proves nothing.
   */
  private void probeSilentGateways(Duration now) {
    Duration interval = definition.quota().leaseDuration().dividedBy(PROBES_PER_LEASE);
    int probes = 0;
    for (int i = 0; i < gateways.size() && probes < MAX_PROBES_PER_TICK; i++) {
      Address address = gateways.get(nextGateway % gateways.size());
      nextGateway++;
      if (isSilent(address, interval, now)) {
        probes++;
        probe(address, interval, now);
      }
    }
  }

  private boolean isSilent(Address address, Duration interval, Duration now) {
    Duration silentFrom = lastContact.getOrDefault(address, Duration.ZERO).plus(interval);
    return !address.equals(peers.self().address()) && now.compareTo(silentFrom) >= 0;
  }

  private void probe(Address address, Duration timeout, Duration now) {
    lastContact.put(address, now);
    peers.probe(
        address,
        converter.probe(),
        timeout,
        () -> allocator = allocator.onConnectionRefused(address, now));
  }

  private void deliver(Member recipient, LeaseMessage message) {
    if (recipient.equals(peers.self())) {
      allocate(recipient, message);
    } else {
      peers.send(recipient, converter.toPayload(message));
    }
  }

  /** Handles a message of another member. */
  void onLease(Member from, MemberMessage.LeasePayload lease) {
    if (stopped) {
      return;
    }
    if (lease.kind() == LeaseKind.GRANT) {
      usage.onGrant(from, lease);
    } else if (lease.kind() == LeaseKind.PROBE || lease.holderIncarnation() != from.incarnation()) {
      onMemberSeen(from);
    } else {
      allocate(from, LeasePayloadConverter.fromHolder(from, lease));
    }
  }

  /** Handles a holder's message on the allocator's side and delivers the grant, if any. */
  private void allocate(Member holder, LeaseMessage message) {
    Duration now = MonotonicClock.now();
    if (definition.gateways().contains(holder.address())) {
      lastContact.put(holder.address(), now);
    }
    QuotaAllocator.Step step = allocator.onMessage(message, now);
    allocator = step.allocator();
    LeaseMessage.Grant grant = step.grant();
    if (grant == null) {
      return;
    }
    if (holder.equals(peers.self())) {
      usage.onGrant(grant);
    } else {
      peers.send(holder, converter.toPayload(grant));
    }
  }

  void onLeadership(long term, Duration until) {
    allocator = allocator.onLeadership(term, until, MonotonicClock.now());
  }

  void onLeadershipLost() {
    allocator = allocator.onLeadershipLost(MonotonicClock.now());
  }

  void onMemberSeen(Member member) {
    allocator = allocator.onMemberSeen(member, MonotonicClock.now());
  }

  void onDecommissioned(Address address, boolean confirmed) {
    allocator = allocator.onDecommissioned(address, confirmed);
  }

  /** Stops using the quota, and then tells the allocator so. */
  void stop(Optional<Member> leader) {
    stopped = true;
    Optional<LeaseMessage> leave = usage.stop();
    if (leave.isPresent() && leader.isPresent() && !leader.get().equals(peers.self())) {
      peers.send(leader.get(), converter.toPayload(leave.get()));
    }
  }
}
