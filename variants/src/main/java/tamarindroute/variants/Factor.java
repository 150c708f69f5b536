package tamarindroute.variants;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One thing about a site that can be changed while all else stays. A factor says which keys it
 * sets; where they have these values already, or the site lacks what it is about, it changes
 * nothing.
 */
enum Factor {
  NO_WEIGHTS("the list tells no weights", site -> tiers(site).set("weights", "none")),
  NOMINAL_WEIGHTS(
      "the list tells the registered sizes", site -> tiers(site).set("weights", "nominal")),
  ROUGH_WEIGHTS(
      "the list tells sizes that are a little off", site -> tiers(site).set("weights", "rough")),
  LIVE_WEIGHTS(
      "the list tells sizes by present load, late", site -> tiers(site).set("weights", "live")),
  NO_REPORTS(
      "caches report nothing", site -> reports(site).set("how", "none").set("fields", List.of())),
  POLLED_REPORTS("caches report in answers to probes only", Factor::pollReports),
  LATE_REPORTS(
      "reports are five times as old",
      site ->
          reports(site)
              .where(report -> !report.path("how").asText().equals("none"))
              .times("period_ms", 5)
              .times("delay_ms", 5)),
  SIZES_TOLD(
      "an object's size is told with the request", site -> fam(site).set("tells_size", true)),
  SIZES_UNTOLD("an object's size is not told", site -> fam(site).set("tells_size", false)),
  LINKS_TOLD("the locations' links in are told", site -> fam(site).set("tells_links", true)),
  LINKS_UNTOLD("the locations' links in are not told", site -> fam(site).set("tells_links", false)),
  TELLS_ALL(
      "answers tell all: how they came about, why they failed",
      site -> fam(site).set("tells", "all")),
  TELLS_HITS("answers tell only whether they were hits", site -> fam(site).set("tells", "hit")),
  TELLS_NOTHING("answers tell nothing", site -> fam(site).set("tells", "none")),
  SECOND_COPIES(
      "a request may be out twice at a time", site -> allow(site).set("second_copies", true)),
  NO_SECOND_COPIES(
      "a request may be out once at a time", site -> allow(site).set("second_copies", false)),
  FEW_ATTEMPTS("a request is tried twice at most", site -> allow(site).atMost("max_attempts", 2)),
  NO_CANCEL("nothing that is out may be cancelled", site -> allow(site).set("cancel", false)),
  BYPASS("requests may go past the caches", site -> fam(site).set("direct", true)),
  JOINS("a cache may join a fill under way", site -> fam(site).set("joins", true)),
  NO_SIBLINGS("caches don't fill from each other", site -> fam(site).set("siblings", "none")),
  LARGE_OBJECTS("objects are three times as large", site -> classes(site).times("work_ms", 3)),
  SMALL_OBJECTS("objects are a quarter as large", site -> classes(site).times("work_ms", 0.25)),
  HEAVY_SIZES("sizes are very uneven, sigma up to 1.7", Factor::spreadSizes),
  SHORT_DEADLINES(
      "deadlines are half as long, 1.5 times the aim at least",
      site -> classes(site).each(Factor::halveDeadline)),
  LONG_DEADLINES(
      "deadlines are three times as long", site -> classes(site).times("deadline_ms", 3)),
  TIGHT_TARGET("answers are wanted within 150 ms", site -> classes(site).atMost("aim_ms", 150)),
  LOOSE_TARGET(
      "answers are wanted within twice the time, the deadline at most",
      site -> classes(site).each(Factor::doubleAim)),
  HIGH_LOAD("load is 1.15 times as high", site -> loads(site, 1.15)),
  LOW_LOAD("load is 0.7 times as high", site -> loads(site, 0.7)),
  EAGER_CLIENTS(
      "clients come again twice, at once",
      site -> clients(site).set("retries", 2, 2.99).set("backoff", "none")),
  PATIENT_CLIENTS("clients don't come again", site -> clients(site).set("retries", 0)),
  FAR_PARENTS(
      "parents and hubs are three times as far",
      site -> fam(site).times("near_ms", 3).times("far_ms", 3)),
  SLOW_ORIGIN("the origin takes four times as long", site -> fam(site).times("origin_ms", 4)),
  FEW_FILLS(
      "caches have half the places for fills",
      site -> fam(site).timesDownTo("fills_per_core", 0.5, 1)),
  NARROW_LINKS("links have hardly any room", site -> fam(site).set("link_room", 1.0, 1.05)),
  ONCE_OBJECTS(
      "four times as many objects are asked for once only, hits fall",
      site -> Tables.at(site, "fam", "class").timesUpTo("once", 4, 0.4).times("hits", 0.8)),
  SLOW_COLD_STARTS(
      "caches and parents start at little and take twice as long to warm", Factor::slowColdStarts),
  HARD_COLD_BOUND(
      "a cold cache bears 1.5 times what it can",
      site -> Tables.at(site, "rules").atMost("fall_multiple", 1.5)),
  QUICK_PURGES(
      "a purge is to be heeded within 150 ms",
      site ->
          fam(site)
              .where(fam -> Tables.high(fam.path("purges")) > 0)
              .atMost("purge_grace_ms", 150)),
  MANY_SMALL_CACHES("twice the caches with half the cores", Factor::manySmallCaches),
  FEW_LARGE_CACHES("half the caches with twice the cores", Factor::fewLargeCaches),
  UNEVEN_CACHES(
      "caches' true speeds differ much",
      site -> kinds(site).timesUpTo("speed_cv", 2.5, 0.6).set("speed", 0.5, 1.5)),
  KEYED_WRITES(
      "writes that may run once only carry a token, as the site's keyed class does",
      Factor::keyWrites),
  FEW_STREAMS(
      "eight requests on a connection at most",
      site -> Tables.at(site, "tier", "conn").atMost("streams", 8));

  /** What the form asks of reports where a site had none. */
  private static final List<String> USUAL_FIELDS = List.of("inflight", "x0", "x1");

  private static final double HEAVY_SIGMA = 1.7;
  private static final double LEAST_DEADLINE_IN_AIMS = 1.5;
  private static final int LEAST_CACHES = 4;
  private static final int LEAST_CORES = 2;
  private static final List<String> SERVER_COUNTS = List.of("servers", "big_servers");

  /** What it changes, for people. */
  final String description;

  private final Consumer<ObjectNode> change;

  Factor(String description, Consumer<ObjectNode> change) {
    this.description = description;
    this.change = change;
  }

  /** The name on the command line, of the folder and in tables. */
  String word() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Changes the document. */
  void apply(ObjectNode document) {
    change.accept(document);
  }

  private static Tables tiers(ObjectNode site) {
    return Tables.at(site, "tier");
  }

  private static Tables reports(ObjectNode site) {
    return Tables.at(site, "tier", "report");
  }

  private static Tables kinds(ObjectNode site) {
    return Tables.at(site, "tier", "kind");
  }

  private static Tables classes(ObjectNode site) {
    return Tables.at(site, "class");
  }

  private static Tables fam(ObjectNode site) {
    return Tables.at(site, "fam");
  }

  private static Tables allow(ObjectNode site) {
    return Tables.at(site, "allow");
  }

  private static Tables clients(ObjectNode site) {
    return Tables.at(site, "clients");
  }

  private static void loads(ObjectNode site, double factor) {
    Tables.at(site, "load")
        .times("quiet", factor)
        .times("trouble", factor)
        .times("overload", factor)
        .times("big", factor);
  }

  private static void pollReports(ObjectNode site) {
    reports(site).set("how", "probe");
    reports(site).where(report -> report.path("fields").isEmpty()).set("fields", USUAL_FIELDS);
    allow(site).set("probes", true);
  }

  private static void spreadSizes(ObjectNode site) {
    for (JsonNode objects : site.path("fam").path("class")) {
      double high = Tables.high(objects.path("size_sigma"));
      if (high > 0 && high < HEAVY_SIGMA) {
        Tables.at((ObjectNode) objects).timesUpTo("size_sigma", HEAVY_SIGMA / high, HEAVY_SIGMA);
      }
    }
  }

  private static void halveDeadline(ObjectNode requests) {
    double least = LEAST_DEADLINE_IN_AIMS * requests.path("aim_ms").asDouble();
    Tables.at(requests).timesDownTo("deadline_ms", 0.5, least).whole("deadline_ms");
  }

  private static void doubleAim(ObjectNode requests) {
    Tables.at(requests)
        .timesUpTo("aim_ms", 2, requests.path("deadline_ms").asDouble(Double.MAX_VALUE));
  }

  private static void slowColdStarts(ObjectNode site) {
    kinds(site).setPresent("cold_from", 0.05, 0.08).times("cold_s", 2);
    fam(site).setPresent("parent_cold_from", 0.05, 0.08).times("parent_cold_s", 2);
  }

  private static void manySmallCaches(ObjectNode site) {
    for (String count : SERVER_COUNTS) {
      Tables.at(site, "scale").times(count, 2);
    }
    kinds(site).timesDownTo("cores", 0.5, LEAST_CORES).whole("cores");
  }

  /** The twin, the same day with fewer caches, gets no more than the day itself. */
  private static void fewLargeCaches(ObjectNode site) {
    Tables scale = Tables.at(site, "scale");
    for (String count : SERVER_COUNTS) {
      scale.timesDownTo(count, 0.5, LEAST_CACHES).whole(count);
    }
    scale
        .where(table -> table.has("servers"))
        .each(table -> Tables.at(table).atMost("twin_servers", Tables.low(table.get("servers"))));
    kinds(site).times("cores", 2);
  }

  private static void keyWrites(ObjectNode site) {
    Optional<ObjectNode> keyed =
        classes(site).where(requests -> effect(requests).equals("keyed")).findFirst();
    keyed.ifPresent(
        as ->
            classes(site)
                .where(requests -> effect(requests).equals("unsafe"))
                .each(
                    requests -> {
                      for (String key : List.of("effect", "group", "window_ms")) {
                        if (as.has(key)) {
                          requests.set(key, as.get(key).deepCopy());
                        }
                      }
                    }));
  }

  private static String effect(ObjectNode requests) {
    return requests.path("effect").asText();
  }
}
