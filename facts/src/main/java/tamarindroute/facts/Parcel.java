package tamarindroute.facts;

import java.util.List;
import java.util.Map;
import tamarindroute.membership.Member;

/**
 * What one member sends another of what it holds.
 *
 * @param has up to where the sender has all of each life's words: what is sent back begins there,
 *     so that what was lost is sent again
 * @param whole up to which number of the feed's generation nothing is missing at the sender
 * @param events of the feed
 */
public record Parcel(
    Map<Member, Long> has, long generation, long whole, List<Part> parts, List<Fact> events) {

  public Parcel {
    has = Map.copyOf(has);
    parts = List.copyOf(parts);
    events = List.copyOf(events);
  }

  /** All that is held of a life from after one sequence up to another. */
  public record Part(Member origin, long after, long upTo, List<Fact> facts) {

    public Part {
      facts = List.copyOf(facts);
    }
  }
}
