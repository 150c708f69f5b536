package tamarindroute.members.agreed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.raft.Owner;
import tamarindroute.agreement.raft.Post;
import tamarindroute.agreement.raft.Voter;
import tamarindroute.agreement.store.FileMedium;
import tamarindroute.host.Steady;
import tamarindroute.log.Log;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Timers;

/**
 * A voter's part: its store, its side of the agreement, and as leader the proposals of what its
 * membership holds. A voter whose store is empty waits until others have let it in: they know if
 * its clock was set back, and an old birth must never be taken again.
 */
final class Voting {

  /** The change of a leader takes up to five seconds and is told by who leads next. */
  private static final Duration TOLD_AFTER = Duration.ofSeconds(6);

  private final Timers timers;
  private final List<Address> told;
  private final Post post;
  private final FileMedium store;
  private final boolean fresh;
  private Optional<Voter> voter = Optional.empty();
  private Cutting cutting = Cutting.none(Steady.now());
  private boolean failed;
  private boolean leading;
  private boolean without;
  private List<Member> voters = List.of();

  Voting(Timers timers, List<Address> told, Path file, Post post) throws IOException {
    this.timers = timers;
    this.told = told;
    this.post = post;
    this.fresh = !Files.exists(file) || Files.size(file) == 0;
    this.store = new FileMedium(file);
  }

  void tick(Agreed.Others others, Duration now) throws IOException {
    if (failed) {
      return;
    }
    boolean inTouch = others.inTouch();
    if (voter.isEmpty() && (!fresh || inTouch)) {
      open(others.self());
    }
    if (voter.isEmpty()) {
      return;
    }
    Agreement agreement = voter.get();
    Agreement.State state = agreement.state();
    tell(state, now);
    if (!inTouch || !state.leads() || state.noMajoritySince().isPresent()) {
      cutting = Cutting.none(now);
      return;
    }
    Cutting.Step step = cutting.step(agreement.view(), others.self(), others.members(), now);
    cutting = step.next();
    step.cut()
        .ifPresent(
            cut ->
                agreement.propose(
                    cut,
                    outcome -> {
                      if (outcome.fate() == Agreement.Fate.REFUSED) {
                        Log.change(
                            "agreed",
                            "cut of "
                                + cut.out().size()
                                + " out and "
                                + cut.in().size()
                                + " in refused: "
                                + outcome.reason());
                      }
                    }));
  }

  private void open(Member self) throws IOException {
    failed = true;
    Voter opened = Voter.open(new On(), post, store, self, told, state -> {});
    failed = false;
    voter = Optional.of(opened);
    Log.change("agreed", "votes as " + opened.self() + (fresh ? ", anew" : ""));
  }

  private void tell(Agreement.State state, Duration now) {
    Optional<String> failure = voter.flatMap(Voter::failure);
    if (failure.isPresent()) {
      failed = true;
      Log.change("agreed", "votes no more: " + failure.get());
      return;
    }
    if (state.leads() != leading) {
      leading = state.leads();
      Log.change("agreed", leading ? "leads" : "leads no more");
    }
    if (!state.voters().equals(voters)) {
      voters = state.voters();
      Log.change("agreed", "voters " + voters);
    }
    Optional<Duration> since = state.noMajoritySince();
    if (since.isPresent() && !without && now.minus(since.get()).compareTo(TOLD_AFTER) >= 0) {
      without = true;
      Log.change(
          "agreed",
          "no majority since " + now.minus(since.get()).toMillis() + " ms: nothing agreed moves");
    } else if (since.isEmpty() && without) {
      without = false;
      Log.change("agreed", "a majority again");
    }
  }

  void received(Address from, byte[] message) {
    voter.ifPresent(one -> one.received(from, message));
  }

  Optional<Agreement> agreement() {
    return voter.map(one -> one);
  }

  void close() throws IOException {
    if (voter.isPresent()) {
      voter.get().close();
    } else {
      store.close();
    }
  }

  /** The owner's thread and the monotonic clock. */
  private final class On implements Owner {
    @Override
    public void execute(Runnable task) {
      timers.handOver(task);
    }

    @Override
    public void schedule(Runnable task, Duration after) {
      timers.after(after, task);
    }

    @Override
    public Duration now() {
      return Steady.now();
    }
  }
}
