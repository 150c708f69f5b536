package tamarindroute.endings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import tamarindroute.endings.Journal.Event;
import tamarindroute.endings.Journal.Kind;

/**
 * After SIGTERM the program ends in its time and by itself, and nothing that a client wrote after
 * its connection had ended is sent on. That all taken before is answered, OneAnswer sees.
 */
final class WayOut implements Check {

  /** SIGKILL comes no sooner than this after SIGTERM. */
  private static final long WITHIN = (World.LONGEST_MS + 700) * Journal.MS;

  /** 0 of its own accord, 143 as Java ends on SIGTERM. */
  private static final Set<String> CODES = Set.of("0", "143");

  @Override
  public List<Breach> breaches(Journal journal) {
    List<Breach> breaches = new ArrayList<>();
    Event term = journal.of(Kind.TERM).stream().findFirst().orElse(null);
    Event exit = journal.of(Kind.EXIT).stream().findFirst().orElse(null);
    if (term == null || exit == null || exit.at() - term.at() > WITHIN + journal.allowance()) {
      breaches.add(
          breach(
              "",
              "no end in time: %s",
              exit == null ? "none" : (exit.at() - term.at()) / Journal.MS + " ms"));
    }
    if (exit != null && !CODES.contains(exit.field("code"))) {
      breaches.add(breach("", "ended with %s", exit.field("code")));
    }
    for (Story story : Story.of(journal)) {
      if (story.ended != null
          && story.sent.from() > story.ended.at()
          && !story.attempts.isEmpty()) {
        breaches.add(
            breach(story.rid, "sent on though its connection had ended before it was written"));
      }
    }
    return breaches;
  }
}
