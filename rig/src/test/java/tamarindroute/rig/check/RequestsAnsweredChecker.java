package tamarindroute.rig.check;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import tamarindroute.rig.journal.JournalEntry;

/**
 * requests-answered: each request gets one intact final answer before its deadline, and none after.
 * Pauses of its gateway extend the deadline; requests that are open at a killed one are excused.
 */
final class RequestsAnsweredChecker implements Checker {

  @Override
  public Verdict check(List<JournalEntry> journal, List<String> arguments) {
    return new Run(journal).verdict();
  }

  private static final class Run {
    private final Verdict verdict = new Verdict();
    private final ProcessTimeline timeline;
    private final Map<String, JournalEntry> openRequests = new LinkedHashMap<>();
    private final Set<String> answered = new HashSet<>();

    Run(List<JournalEntry> journal) {
      timeline = new ProcessTimeline(journal);
      journal.stream().filter(entry -> entry.isFrom("client")).forEach(this::add);
      openRequests.values().forEach(this::checkUnanswered);
    }

    Verdict verdict() {
      return verdict;
    }

    private void add(JournalEntry entry) {
      Optional<String> request = entry.value("rid");
      if (request.isEmpty()) {
        return;
      }
      if (entry.text().startsWith("sent")) {
        openRequests.put(request.get(), entry);
        verdict.countJudged();
      } else if (entry.text().startsWith("answer")) {
        onAnswer(request.get(), entry);
      }
    }

    private void onAnswer(String request, JournalEntry answer) {
      JournalEntry sent = openRequests.remove(request);
      if (sent == null) {
        String reason = answered.contains(request) ? " (it was answered already)" : "";
        verdict.addBreach(
            answer.at(), "an answer to no open request" + reason + ": " + answer.text());
        return;
      }
      answered.add(request);
      Duration deadline = deadline(sent, answer.at());
      if (!answer.has("intact", "true")) {
        verdict.addBreach(
            answer.at(), "an answer that is not the object's bytes: " + answer.text());
      } else if (answer.at().compareTo(deadline) > 0) {
        long lateMillis = answer.at().minus(deadline).toMillis();
        verdict.addBreach(
            answer.at(), "an answer " + lateMillis + " ms too late: " + answer.text());
      }
    }

    private void checkUnanswered(JournalEntry sent) {
      Duration deadline = deadline(sent, ProcessTimeline.NEVER);
      boolean excused = timeline.downWithin(sent.require("gateway"), sent.at(), deadline);
      if (!excused && timeline.end().compareTo(deadline) > 0) {
        verdict.addBreach(sent.at(), "no answer: " + sent.text());
      }
    }

    /** A paused process answers once it runs again. */
    private Duration deadline(JournalEntry sent, Duration until) {
      Duration budget = Duration.ofMillis(Long.parseLong(sent.require("budget")));
      Duration end = sent.at().plus(budget).plus(Tolerance.RIG_LATENESS);
      Duration last = until.compareTo(end) > 0 ? end : until;
      return end.plus(timeline.pausedWithin(sent.require("gateway"), sent.at(), last));
    }
  }
}
