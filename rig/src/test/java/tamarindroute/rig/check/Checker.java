package tamarindroute.rig.check;

import java.util.List;
import tamarindroute.rig.journal.JournalEntry;

/** Judges one invariant. */
interface Checker {

  /**
   * Judges a run.
   *
   * @param journal all entries of the run
   * @param arguments the words after the checker's name in the schedule
   */
  Verdict check(List<JournalEntry> journal, List<String> arguments);
}
