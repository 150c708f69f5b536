package tamarindroute.rig.check;

import java.util.List;
import tamarindroute.rig.journal.Line;

/** Judges one invariant; the words are those behind its name in the schedule. */
public interface Checker {

  Verdict check(List<Line> journal, List<String> words);
}
