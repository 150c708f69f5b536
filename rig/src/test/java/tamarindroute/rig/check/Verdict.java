package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * How much a checker has judged, and what broke its invariant. One that has judged nothing has not
 * shown anything.
 */
public final class Verdict {

  /** When and how an invariant was broken. */
  public record Breach(Duration at, String what) {}

  public int judged;
  public final List<Breach> violations = new ArrayList<>();

  void breach(Duration at, String what) {
    violations.add(new Breach(at, what));
  }
}
