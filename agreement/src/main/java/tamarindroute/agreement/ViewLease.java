package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * A non-voting member's lease of the view. The leader reads the view after it received the request,
 * so the view was current at some moment after the request was sent, and the lease is counted from
 * that sending. Hence nobody acts on a view that was replaced longer than one lease ago, however
 * long messages took or the process was paused, provided that it calls {@link #validView} at the
 * moment of acting. All times are readings of the holder's monotonic clock. Immutable.
 *
 * @param view the last view received; to be used through {@link #validView} only
 * @param expiresAt when the lease ends
 * @param requestNumber number of the last request
 * @param requestSentAt when the last request was sent
 * @param awaitingResponse whether the last request is unanswered
 * @param nextVoterIndex index of the voter to ask next, modulo the number of voters
 * @param leaderHint address of the leader as last reported
 * @param requestsPerLease rate of requests: the next one is due this fraction of a lease after the
 *     last
 */
public record ViewLease(
    Optional<MembershipView> view,
    Duration expiresAt,
    long requestNumber,
    Duration requestSentAt,
    boolean awaitingResponse,
    long nextVoterIndex,
    Optional<Address> leaderHint,
    int requestsPerLease) {

  /** Longest lease that is accepted. */
  public static final Duration MAX_LEASE = Duration.ofMinutes(1);

  /** The holder gives up this fraction of a lease to allow for differing clock rates. */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /** Rate while the leader answers: two requests in a row may be lost. */
  private static final int REQUESTS_PER_LEASE = 4;

  /** Rate while no leader answers: a lease must outlast the election of a new one. */
  private static final int REQUESTS_PER_LEASE_UNANSWERED = 10;

  /** Rate after a redirect to the leader; bounded, as two voters may redirect to each other. */
  private static final int REQUESTS_PER_LEASE_REDIRECTED = 40;

  /** Spreads the request numbers of successive incarnations. */
  private static final long REQUEST_NUMBERS_PER_INCARNATION = 1_000_003L;

  private static final Duration NEVER = Duration.ofDays(-1);

  /**
   * Returns the state of a member that holds no view. Request numbers start from the incarnation,
   * so that a response to a previous incarnation's request is not counted from a later request.
   */
  public static ViewLease initial(Member self) {
    return new ViewLease(
        Optional.empty(),
        Duration.ZERO,
        self.incarnation() * REQUEST_NUMBERS_PER_INCARNATION,
        NEVER,
        false,
        0,
        Optional.empty(),
        REQUESTS_PER_LEASE);
  }

  /** Returns the view that may be acted on now; empty if the lease has expired. */
  public Optional<MembershipView> validView(Duration now) {
    return now.compareTo(expiresAt) < 0 ? view : Optional.empty();
  }

  /** Returns whether a request is due, for leases of this duration. */
  public boolean isRequestDue(Duration now, Duration lease) {
    return requestSentAt.equals(NEVER)
        || now.compareTo(requestSentAt.plus(lease.dividedBy(requestsPerLease))) >= 0;
  }

  /** Returns the voter to ask: the leader if known, otherwise the voters in turn. */
  public Address nextVoter(List<Address> voters) {
    return leaderHint.orElseGet(
        () -> voters.get((int) Math.floorMod(nextVoterIndex, (long) voters.size())));
  }

  /**
   * Returns the state after sending the next request. If the previous one was not answered, the
   * following request goes to another voter.
   */
  public ViewLease requestSent(Duration now) {
    return new ViewLease(
        view,
        expiresAt,
        requestNumber + 1,
        now,
        true,
        awaitingResponse ? nextVoterIndex + 1 : nextVoterIndex,
        awaitingResponse ? Optional.empty() : leaderHint,
        REQUESTS_PER_LEASE_UNANSWERED);
  }

  /**
   * Returns the state after a response. Responses to earlier requests are ignored. A view that does
   * not follow from the held one, or is older than it within its group, ends the lease.
   */
  public ViewLease onResponse(ViewResponse response) {
    if (!awaitingResponse || response.requestNumber() != requestNumber) {
      return this;
    }
    if (!response.fromLeader()) {
      return redirected(response.leader());
    }
    Optional<MembershipView> next =
        response.fullView().isPresent() ? response.fullView() : replay(response);
    if (next.isEmpty() || !isAcceptable(next.get(), response)) {
      return answered(Optional.empty(), Duration.ZERO, REQUESTS_PER_LEASE_UNANSWERED);
    }
    Duration lease = response.lease();
    Duration expiry = requestSentAt.plus(lease).minus(lease.dividedBy(CLOCK_DRIFT_DIVISOR));
    return answered(next, expiry, REQUESTS_PER_LEASE);
  }

  private ViewLease redirected(Optional<Member> leader) {
    return new ViewLease(
        view,
        expiresAt,
        requestNumber,
        requestSentAt,
        false,
        nextVoterIndex + 1,
        leader.map(Member::address),
        leader.isPresent() ? REQUESTS_PER_LEASE_REDIRECTED : REQUESTS_PER_LEASE_UNANSWERED);
  }

  private ViewLease answered(Optional<MembershipView> newView, Duration expiry, int newRate) {
    return new ViewLease(
        newView, expiry, requestNumber, requestSentAt, false, nextVoterIndex, leaderHint, newRate);
  }

  private boolean isAcceptable(MembershipView next, ViewResponse response) {
    Duration lease = response.lease();
    return next.groupId() == response.groupId()
        && !goesBackwards(next)
        && !lease.isNegative()
        && lease.compareTo(MAX_LEASE) <= 0;
  }

  private boolean goesBackwards(MembershipView next) {
    return view.isPresent()
        && view.get().groupId() == next.groupId()
        && next.number() < view.get().number();
  }

  /** Applies the response's commands to the held view; empty if they do not apply to it. */
  private Optional<MembershipView> replay(ViewResponse response) {
    if (view.isEmpty() || view.get().groupId() != response.groupId()) {
      return Optional.empty();
    }
    MembershipView next = view.get();
    for (Command command : response.commands()) {
      ViewTransitions.Transition transition = ViewTransitions.apply(next, command);
      if (transition.rejection().isPresent()) {
        return Optional.empty();
      }
      next = transition.view();
    }
    return Optional.of(next);
  }
}
