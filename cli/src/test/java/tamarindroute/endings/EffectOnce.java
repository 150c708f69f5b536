package tamarindroute.endings;

import java.util.ArrayList;
import java.util.List;
import tamarindroute.endings.Story.Attempt;
import tamarindroute.endings.World.Lane;

/**
 * No effect twice: after an attempt that may have run an at-most-once request is sent no more, a
 * keyed one within its window and group only; and a refusal goes out only where a client's retry is
 * harmless.
 */
final class EffectOnce implements Check {

  private static final long WINDOW = World.WINDOW_MS * Journal.MS;
  private static final long SLACK = 50 * Journal.MS;

  @Override
  public List<Breach> breaches(Journal journal) {
    List<Breach> breaches = new ArrayList<>();
    long allowance = journal.allowance();
    for (Story story : Story.of(journal)) {
      Lane lane = story.lane();
      if (lane.idempotent) {
        continue;
      }
      for (int i = 0; i < story.attempts.size(); i++) {
        for (int k = 0; k < i; k++) {
          Attempt one = story.attempts.get(k);
          Attempt other = story.attempts.get(i);
          if (!inOrder(one, other) && !inOrder(other, one)) {
            both(story, one, other, allowance, breaches);
          }
        }
      }
      if (!lane.mayRefuse
          && !story.answers.isEmpty()
          && story.answers.get(0).field("word").equals("NAK")) {
        long answered = story.answers.get(0).at();
        story.attempts.stream()
            .filter(a -> a.asked.at() < answered && a.proven() > answered)
            .findFirst()
            .ifPresent(
                a ->
                    breaches.add(
                        breach(
                            story.rid,
                            "refused though attempt %s may have run",
                            a.asked.field("attempt"))));
      }
    }
    return breaches;
  }

  /** Whether the first can have come, and proved that it never ran, before the second came. */
  private static boolean inOrder(Attempt first, Attempt second) {
    return first.asked.from() < second.asked.at() && first.proven() <= second.asked.at();
  }

  private void both(
      Story story, Attempt one, Attempt other, long allowance, List<Breach> breaches) {
    String which = one.asked.field("attempt") + " and " + other.asked.field("attempt");
    long gap = Math.max(one.asked.from() - other.asked.at(), other.asked.from() - one.asked.at());
    if (!story.lane().keyed) {
      breaches.add(breach(story.rid, "an effect twice: attempts %s may both have run", which));
    } else if (gap > WINDOW + SLACK + allowance) {
      breaches.add(
          breach(story.rid, "attempts %s are %.0f ms apart, past the window", which, gap / 1e6));
    } else if (!story.lane().mayRefuse && cell(one) != cell(other)) {
      breaches.add(breach(story.rid, "attempts %s are in two cells", which));
    }
  }

  private static int cell(Attempt attempt) {
    return Math.floorMod(attempt.asked.where().hashCode(), 2);
  }
}
