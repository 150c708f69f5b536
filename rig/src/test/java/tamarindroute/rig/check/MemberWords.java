package tamarindroute.rig.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tamarindroute.rig.journal.Line;

/**
 * What members have printed of each other and of themselves, with the lives that the rig had
 * started.
 */
final class MemberWords {

  /** One says of another's life, or of itself (touch), what it is. */
  record Word(Duration at, String speaker, String about, int life, String standing) {}

  private static final Pattern MEMBER =
      Pattern.compile("member:? ([0-9.]+:[0-9]+)#(-?[0-9]+) ([a-z]+)");
  private static final Pattern TOUCH = Pattern.compile("connectivity:? (.*)");
  private static final Pattern STARTED =
      Pattern.compile("process (\\S+) started life=([0-9]+) .*address=(\\S+) .*");

  final List<Word> words = new ArrayList<>();

  /** What each has said of itself. */
  final List<Word> touches = new ArrayList<>();

  final Map<String, Integer> lastLife = new HashMap<>();

  MemberWords(List<Line> journal) {
    Map<String, String> processes = new HashMap<>();
    Map<String, Integer> lives = new HashMap<>();
    for (Line line : journal) {
      Matcher started = STARTED.matcher(line.text());
      Matcher member = MEMBER.matcher(line.text());
      Matcher touch = TOUCH.matcher(line.text());
      if (line.by("rig") && started.matches()) {
        processes.put(started.group(3), started.group(1));
        lastLife.put(started.group(1), Integer.valueOf(started.group(2)));
      } else if (!line.by("rig") && member.find() && processes.containsKey(member.group(1))) {
        String about = processes.get(member.group(1));
        // A birth is a life's number of its own making: it is the life that runs when it is first
        // heard of.
        int life =
            lives.computeIfAbsent(about + "#" + member.group(2), birth -> lastLife.get(about));
        words.add(new Word(line.at(), line.who(), about, life, member.group(3)));
      } else if (!line.by("rig") && touch.find()) {
        touches.add(new Word(line.at(), line.who(), line.who(), 0, touch.group(1)));
      }
    }
  }
}
