package tamarindroute.facts;

import java.util.List;
import java.util.Map;
import tamarindroute.membership.Member;

/**
 * What one member sends another of what it holds.
 *
 * @param knownUpTo up to where the sender has all of each life's words: what is sent back begins
 *     there, so that what was lost is sent again
 * @param eventsUpTo up to which number of the feed's generation nothing is missing at the sender
 * @param events of the feed
 */
public record FactDelta(
    Map<Member, Long> knownUpTo,
    long eventGeneration,
    long eventsUpTo,
    List<FactRange> ranges,
    List<Fact> events) {

  public FactDelta {
    knownUpTo = Map.copyOf(knownUpTo);
    ranges = List.copyOf(ranges);
    events = List.copyOf(events);
  }

  /** All that is held of a life from after one sequence up to another. */
  public record FactRange(Member origin, long after, long upTo, List<Fact> facts) {

    public FactRange {
      facts = List.copyOf(facts);
    }
  }
}
