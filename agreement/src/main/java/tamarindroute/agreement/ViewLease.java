package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * View lease of a non-voting member.
 *
 * <p>The leader reads the view after it received the member's request. The view was therefore
 * current at some moment after the request was sent, and the lease is counted from the time at
 * which the request was sent. A member that calls {@link #validView} at the moment of acting does
 * not act on a view that was replaced longer than one lease ago, however long messages were delayed
 * or the process was paused. All times are readings of the member's monotonic clock. Immutable.
 *
 * @param view the last view received; empty if there is none. To be used through {@link #validView}
 *     only
 * @param expiresAt when the lease ends
 * @param requestNumber number of the last request
 * @param requestSentAt when the last request was sent; negative before the first request
 * @param awaitingResponse whether the last request is unanswered
 * @param nextVoterIndex index of the voter that gets the next request, modulo the number of voters
 * @param leaderHint address of the leader as last reported; empty if unknown
 * @param requestsPerLease rate of requests: the next request is due when the lease duration divided
 *     by this number has passed since the last request
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

  /**
   * Longest lease that is accepted. A longer lease would let a member that lost contact act on a
   * view that was replaced long ago.
   */
  public static final Duration MAX_LEASE = Duration.ofMinutes(1);

  /**
   * The member ends a lease early, by the lease duration divided by this number, as the clocks of
   * member and leader may run at different rates.
   */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /** Rate while the leader responds: the lease outlasts the loss of two requests in a row. */
  private static final int REQUESTS_PER_LEASE = 4;

  /** Rate while no leader responds: the lease must outlast the election of a new leader. */
  private static final int REQUESTS_PER_LEASE_UNANSWERED = 10;

  /**
   * Rate after a redirect to the leader. It is limited, as two voters may redirect to each other.
   */
  private static final int REQUESTS_PER_LEASE_REDIRECTED = 40;

  /** Distance between the first request numbers of successive incarnations; a prime. */
  private static final long REQUEST_NUMBERS_PER_INCARNATION = 1_000_003L;

  /** Value of {@code requestSentAt} before the first request. */
  private static final Duration NOT_SENT = Duration.ofDays(-1);

  /**
   * Returns the state of a member that holds no view. Request numbers start from the incarnation,
   * so that a response to a request of a previous incarnation is not taken for the response to a
   * later request, from which its lease would be counted.
   */
  public static ViewLease initial(Member self) {
    return new ViewLease(
        Optional.empty(),
        Duration.ZERO,
        self.incarnation() * REQUEST_NUMBERS_PER_INCARNATION,
        NOT_SENT,
        false,
        0,
        Optional.empty(),
        REQUESTS_PER_LEASE);
  }

  /**
   * Returns the view that may be acted on at a time; empty if the lease has expired.
   *
   * @param now the current reading of the member's monotonic clock
   */
  public Optional<MembershipView> validView(Duration now) {
    return now.compareTo(expiresAt) < 0 ? view : Optional.empty();
  }

  /**
   * Returns whether the next request is due.
   *
   * @param lease the lease duration that the requests are spaced by
   */
  public boolean isRequestDue(Duration now, Duration lease) {
    return requestSentAt.equals(NOT_SENT)
        || now.compareTo(requestSentAt.plus(lease.dividedBy(requestsPerLease))) >= 0;
  }

  /**
   * Returns the voter that gets the next request: the leader if known, otherwise one voter after
   * the other.
   *
   * @param voters addresses of the configured voters, not empty
   */
  public Address nextVoter(List<Address> voters) {
    return leaderHint.orElseGet(
        () -> voters.get((int) Math.floorMod(nextVoterIndex, (long) voters.size())));
  }

  /**
   * Returns the state after sending the next request. If the previous request was not answered, the
   * request after the one just sent goes to another voter.
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
   * Returns the state after a response. Responses to earlier requests are ignored. The lease ends
   * if the response's commands do not apply to the held view, if the new view belongs to another
   * group than the response names or is older than the held view of the same group, or if the lease
   * duration is out of range.
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

  /** Returns the held view after the response's commands; empty if they do not apply to it. */
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
