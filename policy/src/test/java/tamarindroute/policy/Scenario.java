package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Profile;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Settings;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;

/** Plays one scenario file against a fresh module; the notation is described in the README. */
final class Scenario {

  private final Map<String, Profile> profiles = new HashMap<>();
  private final Map<String, Cache> caches = new HashMap<>();
  private final Map<String, Cache> bound = new HashMap<>();
  private final Map<String, View> views = new HashMap<>();
  private final Map<String, Answer> answers = new HashMap<>();
  private final Map<Cache, Integer> sent = new HashMap<>();
  private Settings settings = settings(Map.of());
  private Decisions brain;
  private Duration now = Duration.ZERO;
  private int steps;

  void play(List<String> lines) {
    for (String line : lines) {
      String[] times = line.replaceAll("#.*", "").strip().split(" times ");
      for (int n = 1; n <= (times.length > 1 ? Integer.parseInt(times[0]) : 1); n++) {
        for (String step : times[times.length - 1].split("; ")) {
          step(step.replace("$", "" + n));
        }
      }
    }
  }

  void assertChecked() {
    assertThat(steps).as("checks in the scenario").isPositive();
  }

  private void step(String whole) {
    String[] parts = whole.split(" -> ");
    String line = parts[0];
    if (line.isEmpty()) {
      return;
    }
    String[] words = line.split("\\s+");
    Map<String, String> facts = new HashMap<>();
    for (String word : words) {
      int equals = word.indexOf('=');
      facts.put(
          equals < 0 ? word : word.substring(0, equals),
          equals < 0 ? "yes" : word.substring(equals + 1));
    }
    switch (words[0]) {
      case "settings" -> settings = settings(facts);
      case "profile" -> profiles.put(words[1], profile(words[2], facts));
      case "cache" -> cache(words, facts);
      case "list", "restart" -> {
        brain = brain == null || words[0].equals("restart") ? new Brain(settings) : brain;
        brain.listed(
            caches.values().stream().sorted(Comparator.comparingLong(c -> c.mark)).toList(), now);
      }
      case "load" ->
          brain.loaded(
              caches.get(words[1]),
              new Load(
                  facts.containsKey("busy") ? whole(facts, "busy", 0) / 100.0 : Double.NaN,
                  whole(facts, "outstanding", -1) < 0
                      ? Double.NaN
                      : whole(facts, "outstanding", -1)),
              now);
      case "dealt" ->
          brain.dealt(
              Cache.Tier.valueOf(words[1].toUpperCase(Locale.ROOT)),
              whole(facts, "part", 0) / 100.0,
              millis(facts.get("until")),
              now);
      case "at" -> now = millis(words[1]);
      case "later" -> now = now.plus(millis(words[1]));
      case "purge" ->
          brain.purged(
              new Purge(
                  facts.containsKey("object") ? whole(facts, "object", 0) : null,
                  (int) whole(facts, "group", 0),
                  now.minus(millis(facts.getOrDefault("age", "0")))),
              now);
      case "view" -> {
        View view =
            new View(
                profiles.get(words[2]),
                whole(facts, "object", 1),
                (int) whole(facts, "part", 0),
                (int) whole(facts, "group", 0),
                whole(facts, "kb", 100),
                now,
                now.plus(millis(facts.getOrDefault("left", "3000"))));
        views.put(words[1], view);
        answer(words[1], brain.place(view, now));
      }
      case "ask" -> answer(words[1], brain.place(views.get(words[1]), now));
      case "outcome" -> outcome(words, facts);
      case "expect" -> expect(line, words);
      case "patience" -> {
        Duration patience = brain.patience(views.get(words[1]), now);
        check(line, String.valueOf(patience == null ? null : patience.toMillis() > 0), words[2]);
      }
      case "go" -> {
        View view = views.get(words[1]);
        check(
            line,
            brain.mayStillGo(view, view.trips.get((int) whole(facts, "trip", 0)), now)
                ? "yes"
                : "no",
            words[2]);
      }
      case "sent" -> {
        steps++;
        int count = sent.getOrDefault(caches.get(words[1]), 0);
        assertThat(count)
            .as(line)
            .isBetween((int) whole(facts, "least", 0), (int) whole(facts, "most", 1 << 30));
      }
      case "forget-sent" -> sent.clear();
      default -> throw new IllegalArgumentException("no such step: " + line);
    }
    if (parts.length > 1) {
      step("expect " + words[1] + " " + parts[1]);
    }
  }

  private static Duration millis(String text) {
    return Duration.ofMillis(Long.parseLong(text));
  }

  private static long whole(Map<String, String> facts, String key, long absent) {
    return facts.containsKey(key) ? Long.parseLong(facts.get(key)) : absent;
  }

  private static boolean truth(Map<String, String> facts, String key, boolean absent) {
    return facts.containsKey(key) ? facts.get(key).equals("yes") : absent;
  }

  /** FROM/WARM-AFTER/MULTIPLE/WINDOW, the times in milliseconds. */
  private static Settings.ColdStart coldStart(String text) {
    String[] parts = text.split("/");
    return new Settings.ColdStart(
        Double.parseDouble(parts[0]),
        millis(parts[1]),
        Double.parseDouble(parts[2]),
        millis(parts[3]));
  }

  private static Settings settings(Map<String, String> facts) {
    return new Settings(
        7,
        1,
        (int) whole(facts, "gateways", 1),
        (int) whole(facts, "here", 1),
        List.of(0, 0),
        whole(facts, "pace", 1000),
        whole(facts, "linkin", 0),
        truth(facts, "direct", false),
        truth(facts, "siblings", true),
        truth(facts, "tells", true),
        truth(facts, "second", false),
        truth(facts, "recalls", true),
        facts.containsKey("comeback") ? millis(facts.get("comeback")) : null,
        (int) whole(facts, "trips", 6),
        coldStart(facts.getOrDefault("edgecold", "0.2/10000/3/2000")),
        coldStart(facts.getOrDefault("parentcold", "0.1/20000/2/2000")),
        millis("6000"),
        Settings.Weights.valueOf(facts.getOrDefault("weights", "rough").toUpperCase(Locale.ROOT)));
  }

  private static Profile profile(String repeat, Map<String, String> facts) {
    return new Profile(
        Profile.Repeat.valueOf(repeat.toUpperCase(Locale.ROOT).replace('-', '_')),
        Profile.Group.valueOf(facts.getOrDefault("group", "all").toUpperCase(Locale.ROOT)),
        millis(facts.getOrDefault("window", "3000")),
        millis(facts.getOrDefault("agreed", "500")),
        2,
        truth(facts, "kept", true),
        millis(facts.getOrDefault("fresh", "0")));
  }

  private void cache(String[] words, Map<String, String> facts) {
    Cache cache = caches.computeIfAbsent(words[1], name -> new Cache(1000 + caches.size()));
    for (String word : words) {
      switch (word) {
        case "edge" -> cache.zone = 1;
        case "parent" -> cache.tier = Cache.Tier.PARENT;
        case "origin" -> cache.tier = Cache.Tier.ORIGIN;
        case "ready", "draining", "gone" ->
            cache.standing = Cache.Standing.valueOf(word.toUpperCase(Locale.ROOT));
        default -> {}
      }
    }
    cache.weight = whole(facts, "weight", cache.weight == 1 ? 10 : (long) cache.weight);
    cache.cell = (int) whole(facts, "cell", cache.cell);
    cache.upSince = facts.containsKey("up") ? millis(facts.get("up")) : cache.upSince;
  }

  private void answer(String name, Answer answer) {
    answers.put(name, answer);
    if (answer instanceof Trip trip) {
      trip.sent = now;
      views.get(name).trips.add(trip);
      sent.merge(trip.cache, 1, Integer::sum);
      if (trip.source != trip.cache) {
        sent.merge(trip.source, 1, Integer::sum);
      }
    }
  }

  /**
   * The outcome of the view's latest trip that is out, or of trip=N; an honoured one closes the
   * view.
   */
  private void outcome(String[] words, Map<String, String> facts) {
    View view = views.get(words[1]);
    Outcome.Result result =
        Outcome.Result.valueOf(words[2].toUpperCase(Locale.ROOT).replace('-', '_'));
    String told = facts.getOrDefault("detail", "untold");
    Outcome.Detail detail = Outcome.Detail.valueOf(told.toUpperCase(Locale.ROOT).replace('-', '_'));
    Trip trip =
        facts.containsKey("trip")
            ? view.trips.get((int) whole(facts, "trip", 0))
            : view.trips.stream().filter(t -> t.outcome == null).reduce((a, b) -> b).orElseThrow();
    trip.outcome =
        new Outcome(
            result,
            detail,
            millis(facts.getOrDefault("took", "100")),
            facts.containsKey("wait") ? millis(facts.get("wait")) : null,
            result == Outcome.Result.HONOURED);
    answer(words[1], brain.after(view, trip, now));
  }

  /** A fact is compared with = or !=; a cache's name with ? before it is bound on the spot. */
  private void expect(String line, String[] words) {
    Answer answer = answers.get(words[1]);
    check(line, answer.getClass().getSimpleName().toLowerCase(Locale.ROOT), words[2]);
    for (String word : Arrays.asList(words).subList(3, words.length)) {
      boolean not = word.contains("!=");
      String key = word.substring(0, word.indexOf(not ? "!=" : "="));
      String wanted = word.substring(word.indexOf('=') + 1);
      Object found;
      if (answer instanceof Trip trip) {
        found =
            switch (key) {
              case "to" -> trip.cache;
              case "from" -> trip.source;
              case "rank" -> trip.rank;
              case "held" -> trip.onlyHeld ? "yes" : "no";
              case "renew" -> trip.renew ? "yes" : "no";
              case "oldest" -> trip.oldest == null ? "any" : trip.oldest.toMillis();
              default -> throw new IllegalArgumentException(line);
            };
      } else if (answer instanceof Answer.Dismissal dismissal && key.equals("comeback")) {
        found = dismissal.comeBack() == null ? "none" : "some";
      } else {
        throw new IllegalArgumentException(line);
      }
      if (wanted.startsWith("?")) {
        bound.put(wanted.substring(1), (Cache) found);
      } else if (not) {
        steps++;
        assertThat(found).as(line).isNotEqualTo(bound.getOrDefault(wanted, caches.get(wanted)));
      } else {
        check(
            line,
            found instanceof Cache ? found : String.valueOf(found),
            found instanceof Cache ? bound.getOrDefault(wanted, caches.get(wanted)) : wanted);
      }
    }
  }

  private void check(String line, Object found, Object wanted) {
    steps++;
    assertThat(found).as(line).isEqualTo(wanted);
  }
}
