package tamarindroute.agreement.raft;

import io.microraft.QueryPolicy;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Answer;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.Founding;
import tamarindroute.agreement.View;
import tamarindroute.agreement.store.Medium;
import tamarindroute.agreement.wire.Heard;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * A told voter, from its first start on: founds with the others, or learns that a group runs and
 * waits to be taken in; from then on the group's agreement. A leader puts in the place of a voter
 * whoever speaks from its address as a later life: the former one's memory is gone, or it would
 * have spoken itself.
 */
public final class Voter implements Agreement {

  /** Between two offers; a founding takes a few of them. */
  private static final Duration OFFER_EVERY = Duration.ofSeconds(1);

  private final Owner owner;
  private final Post post;
  private final Kept kept;
  private final Consumer<State> changed;
  private final QueryPolicy reading;
  private final Duration started;
  private Founding founding;
  private RaftAgreement running;

  /**
   * As far as was known when the library was begun anew; it learns again what is agreed only from a
   * leader.
   */
  private View known = View.first(0);

  private boolean replacing;
  private boolean closed;
  private Optional<String> unfounded = Optional.empty();

  /**
   * Opens the store and starts.
   *
   * @param fresh who this is if the store is empty: a birth that was never used at this address
   * @param told the addresses of all voters, told alike to all of them
   * @param changed told what this voter knows of its group, when it changes
   * @throws IOException the store is damaged, of another address, or can't be written
   */
  public static Voter open(
      Owner owner,
      Post post,
      Medium medium,
      Member fresh,
      Collection<Address> told,
      Consumer<State> changed)
      throws IOException {
    return new Voter(owner, post, medium, fresh, told, changed, QueryPolicy.LINEARIZABLE);
  }

  /** A test hands in another way of reading, to see that its checker finds it. */
  Voter(
      Owner owner,
      Post post,
      Medium medium,
      Member fresh,
      Collection<Address> told,
      Consumer<State> changed,
      QueryPolicy reading)
      throws IOException {
    this.owner = owner;
    this.post = post;
    this.kept = Kept.open(medium);
    this.changed = changed;
    this.reading = reading;
    this.started = owner.now();
    if (kept.pledged().isEmpty()) {
      kept.pledge(fresh, List.of());
    }
    Member self = kept.pledged().get();
    if (!self.address().equals(fresh.address())) {
      kept.close();
      throw new IOException("the store is " + self + "'s, not of " + fresh.address());
    }
    this.founding = Founding.of(self, told, kept.bound(), kept.runs());
    if (kept.runs()) {
      run();
    }
    tick();
  }

  private void run() throws IOException {
    running =
        new RaftAgreement(
            owner, post, kept, founding.self(), founding.founders().get(), changed, reading);
  }

  /** The library anew, from the store. */
  private void begin() {
    known = view();
    State before = running.leave();
    try {
      run();
      running.after(before);
    } catch (IOException unwritten) {
      unfounded = Optional.of(unwritten.toString());
      close();
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    owner.schedule(this::tick, OFFER_EVERY);
    if (running != null && running.stuck()) {
      begin();
    }
    if (running == null || !running.ended() && !running.state().voters().contains(self())) {
      founding.told().stream().filter(one -> !one.equals(self().address())).forEach(this::offer);
    }
  }

  private void offer(Address to) {
    Founding.Offer offer = founding.offer();
    post.send(to, Words.offer(offer.self(), offer.bound(), offer.founded()));
  }

  /** A message has come; this address is that of whoever sealed it. */
  public void received(Address from, byte[] message) {
    if (closed) {
      return;
    }
    Heard heard = Heard.of(message).orElse(null);
    if (heard instanceof Heard.Offered offered) {
      offered(from, offered);
    } else if (running != null) {
      running.received(from, heard);
    } else if (heard instanceof Heard.Ask ask) {
      post.send(from, Words.answer(Answer.elsewhere(ask.number(), Optional.empty())));
    } else if (heard instanceof Heard.Proposal proposal) {
      post.send(from, Words.outcome(proposal.number(), nowhere()));
    }
  }

  private void offered(Address from, Heard.Offered it) {
    if (running != null) {
      replace(from, it.self());
      if (!it.founded() && !it.self().equals(self())) {
        offer(from);
      }
      return;
    }
    Founding next = founding.heard(from, new Founding.Offer(it.self(), it.bound(), it.founded()));
    try {
      if (!next.bound().equals(founding.bound())) {
        kept.pledge(self(), next.bound());
      }
      founding = next;
      if (founding.founders().isPresent()) {
        if (founding.outside()) {
          kept.pledge(self(), founding.founders().get());
        }
        run();
      }
    } catch (IOException unwritten) {
      unfounded = Optional.of(unwritten.toString());
      close();
      changed.accept(state());
    }
  }

  /** One change at a time: first out with whose memory is gone, then in with its successor. */
  private void replace(Address from, Member anew) {
    boolean known = running.state().voters().contains(anew);
    boolean told = founding.told().contains(from) && anew.address().equals(from);
    if (replacing || known || !told || !running.state().leads() || anew.equals(self())) {
      return;
    }
    Optional<Member> former =
        running.state().voters().stream().filter(one -> one.address().equals(from)).findFirst();
    if (former.isPresent() && former.get().birth() > anew.birth()) {
      return;
    }
    replacing = true;
    running.change(former.orElse(anew), former.isEmpty(), done -> replacing = false);
  }

  /** Why it stopped by itself, for operators: the store can't be written, or the library failed. */
  public Optional<String> failure() {
    return running == null ? unfounded : running.failure();
  }

  @Override
  public Member self() {
    return founding.self();
  }

  @Override
  public void propose(Command command, Consumer<Outcome> outcome) {
    if (running == null) {
      outcome.accept(nowhere());
    } else {
      running.propose(command, outcome);
    }
  }

  private static Outcome nowhere() {
    return new Outcome(Fate.ELSEWHERE, 0, "no group yet", Optional.empty());
  }

  @Override
  public void read(Consumer<Optional<View>> view) {
    if (running == null) {
      view.accept(Optional.empty());
    } else {
      running.read(view);
    }
  }

  @Override
  public View view() {
    return running == null || running.view().number() < known.number() ? known : running.view();
  }

  @Override
  public State state() {
    return running == null
        ? new State(false, Optional.empty(), 0, List.of(), false, Optional.of(started))
        : running.state();
  }

  @Override
  public long term() {
    return running == null ? 0 : running.term();
  }

  @Override
  public void change(Member voter, boolean in, Consumer<Outcome> outcome) {
    if (running == null) {
      outcome.accept(nowhere());
    } else {
      running.change(voter, in, outcome);
    }
  }

  @Override
  public void close() {
    closed = true;
    if (running != null) {
      running.close();
    } else {
      kept.closeQuietly();
    }
  }
}
