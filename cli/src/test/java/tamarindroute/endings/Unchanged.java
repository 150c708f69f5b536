package tamarindroute.endings;

import java.util.ArrayList;
import java.util.List;
import tamarindroute.endings.Journal.Event;

/** A client is told that its copy holds only if a cache named that copy for this request. */
final class Unchanged implements Check {

  @Override
  public List<Breach> breaches(Journal journal) {
    List<Breach> breaches = new ArrayList<>();
    for (Story story : Story.of(journal)) {
      for (Event answer : story.answers) {
        String copy = story.sent.field("ver");
        if (answer.field("unchanged").equals("1")
            && (copy.isEmpty()
                || story.attempts.stream()
                    .noneMatch(
                        a ->
                            a.told != null
                                && a.told.field("word").equals("NOMOD")
                                && a.told.field("digest").equals(copy)))) {
          breaches.add(breach(story.rid, "told that copy '%s' holds, which no cache named", copy));
        }
      }
    }
    return breaches;
  }
}
