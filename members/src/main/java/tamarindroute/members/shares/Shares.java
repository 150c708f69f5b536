package tamarindroute.members.shares;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import tamarindroute.decision.Cache;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Timers;
import tamarindroute.shares.Holder;

/**
 * All bounds at one member; all of it on the owner's thread. Whoever carries it starts it once the
 * member listens.
 */
public final class Shares implements Lead {

  /** The way to others. */
  public interface Others {

    Member self();

    /** Sends to a life; it may be lost. */
    void send(Member to, Letter.Lease word);

    /**
     * Asks the machine itself whether anybody listens there; says nothing where a proxy stands
     * between.
     */
    void probe(Address place, Letter.Lease word, Duration within, Runnable refused);
  }

  /** Where a part goes: it holds from now on for so long, and the even share after it. */
  public interface Use {
    void dealt(Cache.Tier tier, double part, Duration span);
  }

  private final Timers timers;
  private final Others others;
  private final Map<Integer, Group> groups;
  private final Duration tick;
  private Member leader;
  private boolean stopped;

  public Shares(Timers timers, Others others, Use use, List<Shared> all) {
    this.timers = timers;
    this.others = others;
    this.groups =
        all.stream()
            .collect(Collectors.toMap(Shared::number, one -> new Group(one, timers, others, use)));
    // A quarter of the time in which a holder asks anew, so that it asks hardly late.
    this.tick =
        all.stream()
            .map(one -> one.bound().length())
            .min(Duration::compareTo)
            .orElse(Duration.ofSeconds(1))
            .dividedBy(12);
  }

  /** Takes the first steps, and more from then on. */
  public void start() {
    if (stopped) {
      return;
    }
    timers.after(tick, this::start);
    each(group -> group.tick(leader));
  }

  private void each(Consumer<Group> task) {
    groups.values().forEach(task);
  }

  /** A letter of another member. */
  public void received(Member from, Letter.Lease letter) {
    Group group = groups.get(letter.group());
    if (group != null) {
      group.received(from, letter);
    }
  }

  /** What may be used of a bound at this moment; null where this one has no part in it. */
  public Holder.Share share(int number) {
    return groups.get(number).share();
  }

  /** Ahead of the member's leaving: nothing is used any more. */
  public void stop() {
    stopped = true;
    each(group -> group.stop(leader));
  }

  @Override
  public void leads(long number, Duration until) {
    each(group -> group.leads(number, until));
  }

  @Override
  public void leadsNoMore() {
    each(Group::leadsNoMore);
  }

  @Override
  public void leader(Member who) {
    leader = who;
  }

  @Override
  public void heard(Member who) {
    each(group -> group.heard(who));
  }

  @Override
  public void gone(Address place, boolean agreed) {
    each(group -> group.gone(place, agreed));
  }
}
