package tamarindroute.members.agreed;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.View;
import tamarindroute.agreement.wire.Heard;
import tamarindroute.host.Steady;
import tamarindroute.log.Log;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.Standing;
import tamarindroute.net.Timers;

/** The agreed view at one member, with a vote or without; all of it on the owner's thread. */
public final class Agreed {

  /** The others as membership holds them, and the way to them. */
  public interface Others {

    Member self();

    Map<Member, Standing> members();

    /** Whether this one runs, hears and is heard, at this very moment. */
    boolean inTouch();

    /** Sends a letter's bytes to whatever life is there. */
    void send(Address to, byte[] bytes);
  }

  /**
   * A quarter of the shortest time that anything here waits; what is due sooner is waited for
   * elsewhere.
   */
  private static final Duration TICK = Duration.ofMillis(250);

  private final Timers timers;
  private final Others others;
  private final Mail mail;
  private final Holding holding;
  private final Proposing proposing;
  private final Optional<Voting> voting;
  private boolean closed;

  /**
   * Opens the store, where this one votes.
   *
   * @param name what this one is known by
   * @param voters as told alike to all members
   * @param store a voter's file
   */
  public Agreed(Timers timers, Address name, List<Address> voters, Path store, Others others)
      throws IOException {
    this.timers = timers;
    this.others = others;
    this.mail = new Mail(timers, name, others::send, this::whole);
    this.holding = new Holding(others.self(), voters, mail, Steady.now());
    this.proposing = new Proposing(others.self(), voters, mail);
    this.voting =
        voters.contains(name)
            ? Optional.of(new Voting(timers, voters, store, mail))
            : Optional.empty();
  }

  /** Takes the first steps, and more from then on. */
  public void start() throws IOException {
    if (closed) {
      return;
    }
    timers.after(TICK, this::again);
    mail.tick();
    if (voting.isPresent()) {
      voting.get().tick(others, Steady.now());
    }
    holding.tick(Steady.now());
    proposing.tick(Steady.now());
  }

  private void again() {
    try {
      start();
    } catch (IOException e) {
      Log.change("agreed", "can't vote: " + e.getMessage());
    }
  }

  /** A letter of another member. */
  public void received(Member from, byte[] bytes) {
    if (!closed) {
      mail.received(from, bytes);
    }
  }

  private void whole(Address from, byte[] message) {
    if (closed) {
      return;
    }
    Heard heard = Heard.of(message).orElse(null);
    if (heard instanceof Heard.Answered || heard instanceof Heard.Proposed) {
      if (holding.votes(from)) {
        answered(heard);
      }
    } else {
      voting.ifPresent(one -> one.received(from, message));
    }
  }

  private void answered(Heard heard) {
    if (heard instanceof Heard.Answered it) {
      holding.answered(it.answer(), Steady.now());
    } else if (heard instanceof Heard.Proposed it) {
      proposing.answered(it.number(), it.outcome());
    }
  }

  /**
   * Proposes at whoever leads; calls back once, on the owner's thread. Where the leader has just
   * died the outcome is unknown after some seconds: what the view has by then tells, or it is
   * proposed again, which changes nothing twice.
   */
  public void propose(Command command, Consumer<Agreement.Outcome> outcome) {
    proposing.propose(command, leader(), outcome, Steady.now());
  }

  /**
   * Where the leader was last; it may lead no more. A voter knows sooner than whoever only asks; it
   * may lead itself.
   */
  public Optional<Address> leader() {
    Optional<Agreement> own = agreement();
    return own.isPresent() ? own.get().state().leader().map(Member::address) : holding.leader();
  }

  /**
   * What is agreed and may be acted on at this moment; empty: out of touch. Asked again ahead of
   * each act.
   */
  public Optional<View> held() {
    return holding.held(Steady.now());
  }

  /** The agreement itself, where this one votes and its store is open. */
  public Optional<Agreement> agreement() {
    return voting.flatMap(Voting::agreement);
  }

  public void close() {
    closed = true;
    mail.close();
    try {
      if (voting.isPresent()) {
        voting.get().close();
      }
    } catch (IOException e) {
      Log.line("agreed", "the store can't be closed: " + e.getMessage());
    }
  }
}
