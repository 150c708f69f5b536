package tamarindroute.rig.check;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.rig.check.MemberWords.Word;
import tamarindroute.rig.journal.Line;

/** What is asked of members, from what they print and what the rig did to them. */
final class MemberChecks {

  private static final Set<String> OUT = Set.of("faulty", "left");

  /** Who is joining is known, and not yet counted. */
  private static final Set<String> IN = Set.of("alive", "suspect");

  private MemberChecks() {}

  /**
   * no-false-away LAG: nobody is called away who could be reached all through the time before, of
   * this length: the longest that a word may take to go round, pauses that are borne and what the
   * rig is late by included.
   */
  static Verdict noFalseAway(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Duration lag = Checkers.time(words.get(0));
    Reach reach = new Reach(journal);
    Times times = new Times(journal);
    MemberWords said = new MemberWords(journal);
    Duration borne = words.size() > 2 ? Checkers.time(words.get(2)) : Duration.ZERO;
    for (Word word : said.words) {
      verdict.judged++;
      if (!word.standing().equals("faulty")
          || word.life() < said.lastLife.get(word.about())
              && times.downWithin(word.about(), Duration.ZERO, word.at())) {
        continue;
      }
      Duration from = word.at().compareTo(lag) > 0 ? word.at().minus(lag) : Duration.ZERO;
      boolean paused =
          times.pausedWithin(word.about(), from, word.at()).compareTo(borne) > 0
              || times.pausedWithin(word.speaker(), from, word.at()).compareTo(borne) > 0;
      if (!paused
          && !times.downWithin(word.about(), from, word.at())
          && reach.connected(word.speaker(), word.about(), from, word.at())) {
        verdict.breach(
            word.at(),
            word.speaker() + " calls " + word.about() + " away, which it could reach all the time");
      }
    }
    return verdict;
  }

  /**
   * killed-known BOUND: each that could be reached by others knows in this time of a life that was
   * ended.
   */
  static Verdict killedKnown(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Duration bound = Checkers.time(words.get(0));
    Reach reach = new Reach(journal);
    Times times = new Times(journal);
    MemberWords said = new MemberWords(journal);
    Map<String, Integer> lives = new HashMap<>();
    for (Line line : journal) {
      String[] text = line.text().split(" ");
      if (!line.by("rig") || !text[0].equals("process")) {
        continue;
      }
      if (text[2].equals("started")) {
        lives.merge(text[1], 1, Integer::sum);
      } else if (Set.of("killed", "leaves").contains(text[2])) {
        int life = lives.get(text[1]);
        Duration end = line.at().plus(bound);
        for (String other : reach.processes) {
          boolean told =
              said.words.stream()
                  .anyMatch(
                      word ->
                          word.speaker().equals(other)
                              && word.about().equals(text[1])
                              && word.at().compareTo(line.at()) >= 0
                              && word.at().compareTo(end) <= 0
                              && (word.life() == life && OUT.contains(word.standing())
                                  || word.life() > life));
          boolean able =
              !other.equals(text[1])
                  && end.compareTo(times.end) <= 0
                  && !times.downWithin(other, line.at(), end)
                  && times.pausedWithin(other, line.at(), end).isZero()
                  && reach.withMost(other, line.at(), end);
          verdict.judged += able ? 1 : 0;
          if (able && !told) {
            verdict.breach(
                end,
                other
                    + " does not know after "
                    + bound.toMillis()
                    + " ms that "
                    + text[1]
                    + " is no more");
          }
        }
      }
    }
    return verdict;
  }

  /** cut-off-told BOUND: who is heard by nobody, or hears nobody, for this time says so itself. */
  static Verdict cutOffTold(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Duration bound = Checkers.time(words.get(0));
    Reach reach = new Reach(journal);
    MemberWords said = new MemberWords(journal);
    for (String one : reach.processes) {
      boolean was = false;
      for (Duration at : reach.changes()) {
        Duration end = at.plus(bound);
        boolean alone = reach.alone(one, at, at);
        if (alone && !was && reach.alone(one, at, end)) {
          verdict.judged++;
          if (said.touches.stream()
              .noneMatch(
                  word ->
                      word.speaker().equals(one)
                          && word.standing().startsWith("isolated")
                          && word.at().compareTo(at) >= 0
                          && word.at().compareTo(end) <= 0)) {
            verdict.breach(
                end, one + " has not said in " + bound.toMillis() + " ms that it is cut off");
          }
        }
        was = alone;
      }
    }
    return verdict;
  }

  /** Who has counted a later life in never counts a former one in again. */
  static Verdict livesInOrder(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Map<String, Integer> latest = new HashMap<>();
    for (Word word : new MemberWords(journal).words) {
      if (!IN.contains(word.standing())) {
        continue;
      }
      verdict.judged++;
      int before = latest.merge(word.speaker() + " " + word.about(), word.life(), Math::max);
      if (word.life() < before) {
        verdict.breach(
            word.at(),
            word.speaker()
                + " counts life "
                + word.life()
                + " of "
                + word.about()
                + " as "
                + word.standing()
                + " after life "
                + before);
      }
    }
    return verdict;
  }

  /** no-flapping MOST: nobody calls the same life away more often than so. */
  static Verdict noFlapping(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    int most = Integer.parseInt(words.get(0));
    Map<String, Integer> times = new HashMap<>();
    for (Word word : new MemberWords(journal).words) {
      verdict.judged++;
      if (word.standing().equals("faulty")
          && times.merge(word.speaker() + " " + word.about() + " " + word.life(), 1, Integer::sum)
              > most) {
        verdict.breach(word.at(), word.speaker() + " calls " + word.about() + " away once more");
      }
    }
    return verdict;
  }

  /** In the end each that runs counts in all that run, in their last lives, and none else. */
  static Verdict allAgree(List<Line> journal, List<String> words) {
    Verdict verdict = new Verdict();
    Reach reach = new Reach(journal);
    MemberWords said = new MemberWords(journal);
    Times times = new Times(journal);
    Map<String, Word> last = new HashMap<>();
    said.words.forEach(
        word -> {
          Word before = last.get(word.speaker() + " " + word.about());
          // A late word on a former life changes nothing on the later one.
          if (before == null
              || word.life() >= before.life()
              || times.downWithin(word.speaker(), before.at(), word.at())) {
            last.put(word.speaker() + " " + word.about(), word);
          }
        });
    for (String one : reach.processes) {
      for (String other : reach.processes) {
        if (one.equals(other) || times.downWithin(one, times.end, times.end)) {
          continue;
        }
        verdict.judged++;
        Word word = last.get(one + " " + other);
        boolean counted =
            word != null && IN.contains(word.standing()) && word.life() == said.lastLife.get(other);
        boolean there = !times.downWithin(other, times.end, times.end);
        if (there != counted) {
          verdict.breach(
              times.end,
              one
                  + " in the end "
                  + (counted ? "counts in " : "does not count in ")
                  + other
                  + (there ? ", which runs" : ", which does not run"));
        }
      }
    }
    return verdict;
  }
}
