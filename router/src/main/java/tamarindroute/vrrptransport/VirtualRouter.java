package tamarindroute.vrrptransport;

import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import tamarindroute.host.MonotonicClock;
import tamarindroute.log.Log;
import tamarindroute.vrrp.Advertisement;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrp.GrantMessage;
import tamarindroute.vrrp.Quorum;

/**
 * One virtual router of a {@link VrrpEndpoint}: runs its election and has its {@link
 * VrrpEndpoint.AddressHolder} take and release the shared address. All methods are called on the
 * event loop.
 */
public final class VirtualRouter {

  private final VrrpEndpoint endpoint;
  private final int virtualId;
  private final List<InetAddress> addresses;
  private final Election.Settings settings;
  private final VrrpEndpoint.AddressHolder holder;
  private Election.State state;
  private Runnable cancelTick = () -> {};
  private Runnable cancelQuorumCheck = () -> {};

  /** Null until grants are first requested or released. */
  private Quorum quorum;

  private boolean addressTaken;

  VirtualRouter(
      VrrpEndpoint endpoint,
      int virtualId,
      int priority,
      List<InetAddress> addresses,
      Election.Settings settings,
      VrrpEndpoint.AddressHolder holder) {
    this.endpoint = endpoint;
    this.virtualId = virtualId;
    this.addresses = List.copyOf(addresses);
    this.settings = settings;
    this.holder = holder;
    this.state = Election.initial(priority, settings);
  }

  List<InetAddress> addresses() {
    return addresses;
  }

  /**
   * Whether this gateway may act for the shared address now. To be checked before each request is
   * accepted and before each write.
   */
  public boolean mayAct() {
    if (!addressTaken) {
      return false;
    }
    if (!Election.mayAct(state, MonotonicClock.now())) {
      // The process was suspended. Releases the address before the caller goes on.
      handle(new Election.Tick());
    }
    updateAddress();
    return addressTaken;
  }

  /**
   * Takes the address if the lease and, where voters are required, the quorum are held, and
   * releases it if either has ended.
   */
  private void updateAddress() {
    boolean mayAct =
        Election.mayAct(state, MonotonicClock.now())
            && (quorum == null || quorum.isHeld(MonotonicClock.now()));
    if (mayAct && !addressTaken) {
      addressTaken = true;
      Log.infoWithFields("vrrp-taken", "took the shared address", "router", virtualId);
      holder.onTaken();
    } else if (!mayAct && addressTaken) {
      release(Election.ReleaseReason.LEASE_EXPIRED);
    }
  }

  private void release(Election.ReleaseReason reason) {
    addressTaken = false;
    Log.infoWithFields(
        "vrrp-dropped", "released the shared address", "router", virtualId, "why", reason);
    holder.onReleased(reason);
  }

  /** Requests grants of all voters, this gateway among them. Answers may be lost. */
  private void requestGrants() {
    Duration now = MonotonicClock.now();
    quorum = quorum == null ? Quorum.withoutGrants(endpoint.voterCount()) : quorum;
    GrantMessage request =
        new GrantMessage(
            GrantMessage.MessageType.REQUEST, virtualId, endpoint.grantDuration(), now.toNanos());
    GrantMessage ownAnswer = endpoint.voteLocally(request);
    if (ownAnswer != null && ownAnswer.type() == GrantMessage.MessageType.GRANTED) {
      onGranted(VrrpEndpoint.OWN_VOTER_NUMBER, now);
    }
    endpoint.sendToVoters(request);
  }

  /**
   * Records a grant and takes the address if the quorum is now held.
   *
   * @param voter number of the voter
   * @param requestedAt when this router sent the request
   */
  void onGranted(int voter, Duration requestedAt) {
    // No request can have been sent in the future. Such a time is rejected because the grant would
    // be regarded as valid for too long.
    if (state.role() == Election.Role.ACTIVE
        && quorum != null
        && requestedAt.compareTo(MonotonicClock.now()) <= 0) {
      quorum = quorum.granted(voter, requestedAt, endpoint.grantDuration());
      updateAddress();
      cancelQuorumCheck.run();
      cancelQuorumCheck =
          endpoint.scheduler().schedule(endpoint.grantDuration(), this::updateAddress);
    }
  }

  /** Gives all grants back, so that the next active router need not wait until they expire. */
  private void releaseGrants() {
    if (endpoint.hasVoters()) {
      GrantMessage release =
          new GrantMessage(
              GrantMessage.MessageType.RELEASE, virtualId, endpoint.grantDuration(), 0);
      endpoint.voteLocally(release);
      endpoint.sendToVoters(release);
      quorum = Quorum.withoutGrants(endpoint.voterCount());
    }
  }

  /** The state of the election. Its role may be active while the address is not taken yet. */
  public Election.State state() {
    return state;
  }

  /**
   * Sets the priority, 1 to 255, with which this gateway takes part in the election from now on.
   */
  public void setPriority(int priority) {
    if (priority != state.priority()) {
      Log.infoWithFields(
          "vrrp-priority",
          "priority changed",
          "router",
          virtualId,
          "from",
          state.priority(),
          "to",
          priority);
      handle(new Election.PriorityChanged(priority));
    }
  }

  /** Gives the address up in an orderly way and takes part in the election again as a backup. */
  public void resign() {
    handle(new Election.Shutdown());
    handle(new Election.Startup());
  }

  /** Passes an event to the election and carries out the resulting actions. */
  void handle(Election.Event event) {
    Election.Role roleBefore = state.role();
    Duration now = MonotonicClock.now();
    Election.Step step = Election.next(state, event, now, settings);
    state = step.state();
    if (roleBefore != state.role()) {
      logRoleChange(roleBefore, event);
    }
    scheduleTick(now);
    for (Election.Action action : step.actions()) {
      carryOut(action);
    }
    updateAddress();
  }

  /**
   * Logs each role under a topic of its own. Each topic is limited to one line per second, and
   * otherwise a change of the active router could go unlogged.
   */
  private void logRoleChange(Election.Role roleBefore, Election.Event event) {
    Log.infoWithFields(
        "vrrp-" + state.role().name().toLowerCase(Locale.ROOT),
        "role changed from " + roleBefore,
        "router",
        virtualId,
        "event",
        event,
        "priority",
        state.priority());
  }

  private void scheduleTick(Duration now) {
    cancelTick.run();
    Duration deadline = Election.nextDeadline(state);
    if (deadline != null) {
      cancelTick =
          endpoint.scheduler().schedule(deadline.minus(now), () -> handle(new Election.Tick()));
    }
  }

  /** Nothing is done for {@link Election.TakeAddress}, as the address may need grants first. */
  private void carryOut(Election.Action action) {
    if (action instanceof Election.SendAdvertisement advertisement) {
      endpoint.sendToPeers(
          new Advertisement(virtualId, advertisement.priority(), settings.interval(), addresses));
      if (endpoint.hasVoters() && advertisement.priority() != Advertisement.RESIGN_PRIORITY) {
        requestGrants();
      }
    } else if (action instanceof Election.ReleaseAddress release) {
      if (addressTaken) {
        release(release.reason());
      }
      releaseGrants();
    }
  }
}
