package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** How many cases a checker has judged, and the breaches of its invariant among them. */
public final class Verdict {

  /**
   * A breach of an invariant.
   *
   * @param at when
   * @param description what happened
   */
  public record Breach(Duration at, String description) {}

  private int judged;
  private final List<Breach> breaches = new ArrayList<>();

  /** One more case was judged. */
  void countJudged() {
    judged++;
  }

  void addBreach(Duration at, String description) {
    breaches.add(new Breach(at, description));
  }

  /** The number of judged cases; a checker without any has shown nothing. */
  public int judged() {
    return judged;
  }

  /** The breaches in the order in which they were found. */
  public List<Breach> breaches() {
    return List.copyOf(breaches);
  }
}
