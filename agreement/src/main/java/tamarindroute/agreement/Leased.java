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
 * @param until when it is given up
 * @param number of the last asking
 * @param asked when the last asking was sent
 * @param open whether an answer to it is still waited for
 * @param whom the voter of the list that is asked next, counted up
 * @param hint the leader's address as last told
 * @param often so many askings would go out within a lease: the next one is due accordingly
 */
public record Leased(
    Optional<View> view,
    Duration until,
    long number,
    Duration asked,
    boolean open,
    long whom,
    Optional<Address> hint,
    int often) {

  /** A holder gives up this part of its lease for clocks that do not run alike. */
  private static final long DRIFT = 100;

  /** Asks so many times within a lease: two askings may be lost without getting out of touch. */
  private static final int ASKINGS = 4;

  /**
   * Longest lease that is believed; more would only let a lost member act on what has long been
   * replaced.
   */
  public static final Duration LEASE_MOST = Duration.ofMinutes(1);

  /**
   * While nobody that leads has answered: a lease must outlast the loss of a leader, so the next is
   * asked sooner.
   */
  private static final int UNANSWERED = 10;

  /**
   * Sent on to the leader, at once but for a breath, so that two that send on to each other don't
   * spin.
   */
  private static final int SENT_ON = 40;

  private static final Duration NEVER = Duration.ofDays(-1);

  /**
   * Nothing held yet. Askings are numbered from the birth on: an answer to a former life's asking
   * would be counted from a later asking than it was read for.
   */
  public static Leased none(Member self) {
    long first = self.birth() * 1_000_003L;
    return new Leased(
        Optional.empty(), Duration.ZERO, first, NEVER, false, 0, Optional.empty(), ASKINGS);
  }

  /** What may be acted on now; empty: out of touch. */
  public Optional<View> held(Duration now) {
    return now.compareTo(until) < 0 ? view : Optional.empty();
  }

  /** Whether to ask now. */
  public boolean due(Duration now, Duration lease) {
    return asked.equals(NEVER) || now.compareTo(asked.plus(lease.dividedBy(often))) >= 0;
  }

  /** Whom to ask: the leader as told, else one voter after the other. */
  public Address whom(List<Address> voters) {
    return hint.orElseGet(() -> voters.get((int) Math.floorMod(whom, (long) voters.size())));
  }

  /**
   * The asking of this state's number goes out now. One that was not answered makes the next voter
   * be asked.
   */
  public Leased asked(Duration now) {
    boolean unanswered = open;
    return new Leased(
        view,
        until,
        number + 1,
        now,
        true,
        unanswered ? whom + 1 : whom,
        unanswered ? Optional.empty() : hint,
        UNANSWERED);
  }

  /**
   * An answer has come. One to an earlier asking, one that does not lead on from what is held, or
   * that would lead back within its group is not believed.
   */
  public Leased answered(Answer answer) {
    if (!open || answer.number() != number) {
      return this;
    }
    if (!answer.led()) {
      return new Leased(
          view,
          until,
          number,
          asked,
          false,
          whom + 1,
          answer.leader().map(Member::address),
          answer.leader().isPresent() ? SENT_ON : UNANSWERED);
    }
    Optional<View> next = answer.whole().isPresent() ? answer.whole() : replayed(answer);
    boolean believed =
        next.isPresent()
            && next.get().group() == answer.group()
            && !back(next.get())
            && !answer.lease().isNegative()
            && answer.lease().compareTo(LEASE_MOST) <= 0;
    if (!believed) {
      return new Leased(
          Optional.empty(), Duration.ZERO, number, asked, false, whom, hint, UNANSWERED);
    }
    Duration end = asked.plus(answer.lease()).minus(answer.lease().dividedBy(DRIFT));
    return new Leased(next, end, number, asked, false, whom, hint, ASKINGS);
  }

  private boolean back(View next) {
    return view.isPresent()
        && view.get().group() == next.group()
        && next.number() < view.get().number();
  }

  private Optional<View> replayed(Answer answer) {
    if (view.isEmpty() || view.get().group() != answer.group()) {
      return Optional.empty();
    }
    View next = view.get();
    for (Command command : answer.since()) {
      Ledger.Step step = Ledger.apply(next, command);
      if (step.refusal().isPresent()) {
        return Optional.empty();
      }
      next = step.view();
    }
    return Optional.of(next);
  }
}
