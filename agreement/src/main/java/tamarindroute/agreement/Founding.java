package tamarindroute.agreement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Owns how told addresses become a group of lives: each voter binds itself, once and for good, to
 * the lives that it has heard from all told addresses, and the group runs once all of them are
 * bound to the same. So a life founds with one group only, and one that lost its memory, being
 * another life, can't found beside a group that runs: it learns the group's founders and waits
 * outside to be taken in. Who is bound must have been kept before it is told. Immutable.
 *
 * @param told all addresses that vote, this one among them
 * @param bound whom this one is bound to found with; empty: nobody yet
 * @param heard the others' last offers, by address
 * @param founders of the group that runs, whether this one is among them or not
 */
public record Founding(
    Member self,
    List<Address> told,
    List<Member> bound,
    Map<Address, Offer> heard,
    Optional<List<Member>> founders) {

  /** What one says to all others, again and again until it votes. */
  public record Offer(Member self, List<Member> bound, boolean founded) {
    public Offer {
      bound = List.copyOf(bound);
    }
  }

  public Founding {
    told = List.copyOf(told);
    bound = List.copyOf(bound);
    heard = Map.copyOf(heard);
  }

  /** As kept: not bound, bound, or of a group that runs. */
  public static Founding of(
      Member self, Collection<Address> told, List<Member> bound, boolean founded) {
    return new Founding(
        self,
        told.stream().sorted().distinct().toList(),
        bound,
        Map.of(),
        founded ? Optional.of(bound) : Optional.empty());
  }

  public Offer offer() {
    return new Offer(self, founders.orElse(bound), founders.isPresent());
  }

  /** Outside a group that runs, waiting to be taken in. */
  public boolean outside() {
    return founders.isPresent() && !founders.get().contains(self);
  }

  public Founding heard(Address from, Offer offer) {
    if (founders.isPresent()
        || from.equals(self.address())
        || !told.contains(from)
        || !offer.self().address().equals(from)) {
      return this;
    }
    if (offer.founded()) {
      // Bound to others that never ran, it stays: what it is bound to may run yet at whom it does
      // not hear.
      boolean joins =
          offer.bound().equals(bound) || bound.isEmpty() && !offer.bound().contains(self);
      return joins ? new Founding(self, told, bound, heard, Optional.of(offer.bound())) : this;
    }
    Map<Address, Offer> more = new TreeMap<>(heard);
    more.put(from, offer);
    return new Founding(self, told, bound, more, founders).bind().found();
  }

  /** All have spoken, and none is bound to another list than the one that all of them make. */
  private Founding bind() {
    if (!bound.isEmpty() || heard.size() < told.size() - 1) {
      return this;
    }
    List<Member> all =
        told.stream()
            .map(one -> one.equals(self.address()) ? self : heard.get(one).self())
            .toList();
    boolean free =
        heard.values().stream().allMatch(one -> one.bound().isEmpty() || one.bound().equals(all));
    return free ? new Founding(self, told, all, heard, founders) : this;
  }

  private Founding found() {
    boolean all =
        !bound.isEmpty()
            && heard.size() == told.size() - 1
            && heard.values().stream()
                .allMatch(one -> one.bound().equals(bound) && bound.contains(one.self()));
    return all ? new Founding(self, told, bound, heard, Optional.of(bound)) : this;
  }
}
