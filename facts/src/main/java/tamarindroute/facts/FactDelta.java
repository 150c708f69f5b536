package tamarindroute.facts;

import java.util.List;
import java.util.Map;
import tamarindroute.membership.Member;

/**
 * What one member sends another in an exchange: what it knows already, and facts that the other is
 * not known to have.
 *
 * @param knownUpTo by incarnation, the sequence up to which the sender has all facts. The other's
 *     next delta starts there, so that lost facts are sent again
 * @param eventGeneration the feed generation that the sender knows
 * @param eventsUpTo the event number up to which the sender lacks nothing of that generation
 * @param ranges facts about caches, by origin
 * @param events events of the control feed
 */
public record FactDelta(
    Map<Member, Long> knownUpTo,
    long eventGeneration,
    long eventsUpTo,
    List<FactRange> ranges,
    List<Fact> events) {

  /** Copies the collections. */
  public FactDelta {
    knownUpTo = Map.copyOf(knownUpTo);
    ranges = List.copyOf(ranges);
    events = List.copyOf(events);
  }

  /** All facts that the sender holds of an origin, after one sequence up to another. */
  public record FactRange(Member origin, long after, long upTo, List<Fact> facts) {

    /** Copies the facts. */
    public FactRange {
      facts = List.copyOf(facts);
    }
  }
}
