package tamarindroute.members;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.members.agreed.Agreed;
import tamarindroute.members.shares.Leading;
import tamarindroute.members.shares.Shared;
import tamarindroute.members.shares.Shares;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;
import tamarindroute.net.Timers;

/**
 * The shares beside the agreed view: who leads it deals, and is asked for parts. On the owner's
 * thread.
 */
final class Sharing {

  /** A twelfth of the time that a lead lasts. */
  private static final Duration TICK = Duration.ofMillis(250);

  private final Timers timers;
  private final Endpoint endpoint;
  private final Agreed agreed;
  private final Shares shares;
  private final Leading leading;
  private boolean stopped;

  /** The endpoint listens already: a refusal must prove that no life that uses shares is there. */
  Sharing(Timers timers, Endpoint endpoint, Agreed agreed, Shares.Use use, List<Shared> shared) {
    this.timers = timers;
    this.endpoint = endpoint;
    this.agreed = agreed;
    this.shares = new Shares(timers, new Beside(endpoint), use, shared);
    this.leading = new Leading(shares);
    shares.start();
    tick();
  }

  private void tick() {
    if (!stopped) {
      timers.after(TICK, this::tick);
      leading.tick(agreed.agreement());
      shares.leader(agreed.leader().flatMap(this::alive).orElse(null));
    }
  }

  /**
   * A voter is known by the life that its store began with; the one that is there now is
   * membership's to tell.
   */
  private Optional<Member> alive(Address place) {
    return endpoint.alive().stream().filter(one -> one.address().equals(place)).findFirst();
  }

  void became(Member about, Standing standing) {
    if (standing == Standing.JOINING || standing == Standing.ALIVE) {
      shares.heard(about);
    }
  }

  void received(Member from, Letter.Lease word) {
    shares.received(from, word);
  }

  /** Ahead of the endpoint's leaving. */
  void stop() {
    stopped = true;
    shares.stop();
  }
}
