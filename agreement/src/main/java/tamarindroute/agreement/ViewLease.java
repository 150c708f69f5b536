package tamarindroute.agreement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Owns what a member without a vote holds of the view, and until when by its own monotonic clock.
 * The leader reads the view after it was asked, so whatever is held was the newest at some moment
 * after the asking; the lease counts from the asking. So nobody acts on a view that was replaced
 * longer than a lease ago, whatever the ways took and however long a process stood still: it asks
 * {@link #held} at the moment of acting. Immutable.
 *
 * @param view the last that was answered; not to be acted on but through {@link #held}
 * @param expiresAt when it is given up
 * @param requestNumber of the last asking
 * @param requestSent when the last asking was sent
 * @param awaitingResponse whether an answer to it is still waited for
 * @param nextVoter the voter of the list that is asked next, counted up
 * @param leaderHint the leader's address as last told
 * @param requestsPerLease so many askings would go out within a lease: the next one is due
 *     accordingly
 */
public record ViewLease(
    Optional<MembershipView> view,
    Duration expiresAt,
    long requestNumber,
    Duration requestSent,
    boolean awaitingResponse,
    long nextVoter,
    Optional<Address> leaderHint,
    int requestsPerLease) {

  /** A holder gives up this part of its lease for clocks that do not run alike. */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /** Asks so many times within a lease: two askings may be lost without getting out of touch. */
  private static final int REQUESTS_PER_LEASE = 4;

  /**
   * Longest lease that is believed; more would only let a lost member act on what has long been
   * replaced.
   */
  public static final Duration MAX_LEASE = Duration.ofMinutes(1);

  /**
   * While nobody that leads has answered: a lease must outlast the loss of a leader, so the next is
   * asked sooner.
   */
  private static final int REQUESTS_PER_LEASE_UNANSWERED = 10;

  /**
   * Sent on to the leader, at once but for a breath, so that two that send on to each other don't
   * spin.
   */
  private static final int REQUESTS_PER_LEASE_REDIRECTED = 40;

  private static final Duration NEVER = Duration.ofDays(-1);

  /**
   * Nothing held yet. Askings are numbered from the birth on: an answer to a former life's asking
   * would be counted from a later asking than it was read for.
   */
  public static ViewLease initial(Member self) {
    long firstRequestNumber = self.incarnation() * 1_000_003L;
    return new ViewLease(
        Optional.empty(),
        Duration.ZERO,
        firstRequestNumber,
        NEVER,
        false,
        0,
        Optional.empty(),
        REQUESTS_PER_LEASE);
  }

  /** What may be acted on now; empty: out of touch. */
  public Optional<MembershipView> validView(Duration now) {
    return now.compareTo(expiresAt) < 0 ? view : Optional.empty();
  }

  /** Whether to ask now. */
  public boolean isRequestDue(Duration now, Duration lease) {
    return requestSent.equals(NEVER)
        || now.compareTo(requestSent.plus(lease.dividedBy(requestsPerLease))) >= 0;
  }

  /** Whom to ask: the leader as told, else one voter after the other. */
  public Address nextVoter(List<Address> voters) {
    return leaderHint.orElseGet(
        () -> voters.get((int) Math.floorMod(nextVoter, (long) voters.size())));
  }

  /**
   * The asking of this state's number goes out now. One that was not answered makes the next voter
   * be asked.
   */
  public ViewLease requestSent(Duration now) {
    boolean unanswered = awaitingResponse;
    return new ViewLease(
        view,
        expiresAt,
        requestNumber + 1,
        now,
        true,
        unanswered ? nextVoter + 1 : nextVoter,
        unanswered ? Optional.empty() : leaderHint,
        REQUESTS_PER_LEASE_UNANSWERED);
  }

  /**
   * An answer has come. One to an earlier asking, one that does not lead on from what is held, or
   * that would lead back within its group is not believed.
   */
  public ViewLease onResponse(ViewResponse response) {
    if (!awaitingResponse || response.requestNumber() != requestNumber) {
      return this;
    }
    if (!response.fromLeader()) {
      return new ViewLease(
          view,
          expiresAt,
          requestNumber,
          requestSent,
          false,
          nextVoter + 1,
          response.leader().map(Member::address),
          response.leader().isPresent()
              ? REQUESTS_PER_LEASE_REDIRECTED
              : REQUESTS_PER_LEASE_UNANSWERED);
    }
    Optional<MembershipView> next =
        response.fullView().isPresent() ? response.fullView() : replay(response);
    boolean accepted =
        next.isPresent()
            && next.get().groupId() == response.groupId()
            && !goesBackwards(next.get())
            && !response.lease().isNegative()
            && response.lease().compareTo(MAX_LEASE) <= 0;
    if (!accepted) {
      return new ViewLease(
          Optional.empty(),
          Duration.ZERO,
          requestNumber,
          requestSent,
          false,
          nextVoter,
          leaderHint,
          REQUESTS_PER_LEASE_UNANSWERED);
    }
    Duration newExpiry =
        requestSent.plus(response.lease()).minus(response.lease().dividedBy(CLOCK_DRIFT_DIVISOR));
    return new ViewLease(
        next,
        newExpiry,
        requestNumber,
        requestSent,
        false,
        nextVoter,
        leaderHint,
        REQUESTS_PER_LEASE);
  }

  private boolean goesBackwards(MembershipView next) {
    return view.isPresent()
        && view.get().groupId() == next.groupId()
        && next.number() < view.get().number();
  }

  private Optional<MembershipView> replay(ViewResponse response) {
    if (view.isEmpty() || view.get().groupId() != response.groupId()) {
      return Optional.empty();
    }
    MembershipView next = view.get();
    for (Command command : response.commands()) {
      ViewTransitions.Transition step = ViewTransitions.apply(next, command);
      if (step.rejection().isPresent()) {
        return Optional.empty();
      }
      next = step.view();
    }
    return Optional.of(next);
  }
}
