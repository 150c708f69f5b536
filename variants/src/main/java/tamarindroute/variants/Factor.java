package tamarindroute.variants;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * One property of a site that a variant changes while all else stays. A factor changes nothing
 * where its keys have the new values already, or the site lacks them.
 */
enum Factor {
  NO_WEIGHTS("the list has no weights", site -> tiers(site).set("weights", "none")),
  NOMINAL_WEIGHTS(
      "the list has the registered sizes as weights",
      site -> tiers(site).set("weights", "nominal")),
  ROUGH_WEIGHTS(
      "the list has inexact sizes as weights", site -> tiers(site).set("weights", "rough")),
  LIVE_WEIGHTS(
      "the list has weights that follow the load, late",
      site -> tiers(site).set("weights", "live")),
  NO_REPORTS(
      "caches report nothing", site -> reports(site).set("how", "none").set("fields", List.of())),
  POLLED_REPORTS("caches report in answers to health checks only", Factor::pollReports),
  LATE_REPORTS(
      "reports are five times as old",
      site ->
          reports(site)
              .where(report -> !report.path("how").asText().equals("none"))
              .times("period_ms", 5)
              .times("delay_ms", 5)),
  SIZES_REPORTED(
      "sizes-told",
      "requests contain the object's size",
      site -> family(site).set("tells_size", true)),
  SIZES_UNREPORTED(
      "sizes-untold",
      "requests do not contain the object's size",
      site -> family(site).set("tells_size", false)),
  LINKS_REPORTED(
      "links-told",
      "the locations' links are configured",
      site -> family(site).set("tells_links", true)),
  LINKS_UNREPORTED(
      "links-untold",
      "the locations' links are unknown",
      site -> family(site).set("tells_links", false)),
  ANSWERS_WITH_CAUSES(
      "tells-all",
      "answers contain their source and the cause of failures",
      site -> family(site).set("tells", "all")),
  ANSWERS_WITH_HITS(
      "tells-hits",
      "answers contain only whether they were hits",
      site -> family(site).set("tells", "hit")),
  ANSWERS_WITHOUT_DETAILS(
      "tells-nothing", "answers contain no details", site -> family(site).set("tells", "none")),
  SECOND_COPIES(
      "a request may have two attempts at a time",
      site -> permissions(site).set("second_copies", true)),
  NO_SECOND_COPIES(
      "a request may have one attempt at a time",
      site -> permissions(site).set("second_copies", false)),
  FEW_ATTEMPTS(
      "a request has two attempts at most", site -> permissions(site).atMost("max_attempts", 2)),
  NO_CANCEL("attempts may not be cancelled", site -> permissions(site).set("cancel", false)),
  BYPASS("requests may go past the caches", site -> family(site).set("direct", true)),
  JOINS("requests may share a fill that is under way", site -> family(site).set("joins", true)),
  NO_SIBLINGS("caches don't fill from each other", site -> family(site).set("siblings", "none")),
  LARGE_OBJECTS(
      "objects are three times as large", site -> requestClasses(site).times("work_ms", 3)),
  SMALL_OBJECTS(
      "objects are a quarter as large", site -> requestClasses(site).times("work_ms", 0.25)),
  HEAVY_SIZES("sizes are very uneven, sigma up to 1.7", Factor::spreadSizes),
  SHORT_DEADLINES(
      "deadlines are half as long, at least 1.5 times the objective",
      site -> requestClasses(site).each(Factor::halveDeadline)),
  LONG_DEADLINES(
      "deadlines are three times as long", site -> requestClasses(site).times("deadline_ms", 3)),
  TIGHT_TARGET(
      "the latency objective is 150 ms at most",
      site -> requestClasses(site).atMost("aim_ms", 150)),
  LOOSE_TARGET(
      "the latency objective is twice as long, at most the deadline",
      site -> requestClasses(site).each(Factor::doubleObjective)),
  HIGH_LOAD("load is 1.15 times as high", site -> scaleLoad(site, 1.15)),
  LOW_LOAD("load is 0.7 times as high", site -> scaleLoad(site, 0.7)),
  EAGER_CLIENTS(
      "clients retry twice, at once",
      site -> clients(site).set("retries", 2, 2.99).set("backoff", "none")),
  PATIENT_CLIENTS("clients don't retry", site -> clients(site).set("retries", 0)),
  FAR_PARENTS(
      "parents and hubs are three times as far",
      site -> family(site).times("near_ms", 3).times("far_ms", 3)),
  SLOW_ORIGIN("the origin takes four times as long", site -> family(site).times("origin_ms", 4)),
  FEW_FILLS(
      "caches take half as many fills at a time",
      site -> family(site).timesDownTo("fills_per_core", 0.5, 1)),
  NARROW_LINKS(
      "links have hardly any spare capacity", site -> family(site).set("link_room", 1.0, 1.05)),
  ONCE_OBJECTS(
      "four times as many objects are requested only once, hits fall",
      site -> TableSelection.at(site, "fam", "class").timesUpTo("once", 4, 0.4).times("hits", 0.8)),
  SLOW_COLD_STARTS(
      "caches and parents start with less and take twice as long to warm up",
      Factor::slowColdStarts),
  HARD_COLD_BOUND(
      "a cold cache is overloaded at 1.5 times its capacity",
      site -> TableSelection.at(site, "rules").atMost("fall_multiple", 1.5)),
  QUICK_PURGES(
      "a purge holds within 150 ms",
      site ->
          family(site)
              .where(fam -> TableSelection.high(fam.path("purges")) > 0)
              .atMost("purge_grace_ms", 150)),
  MANY_SMALL_CACHES("twice the caches with half the cores", Factor::manySmallCaches),
  FEW_LARGE_CACHES("half the caches with twice the cores", Factor::fewLargeCaches),
  UNEVEN_CACHES(
      "caches' true speeds differ much",
      site -> cacheKinds(site).timesUpTo("speed_cv", 2.5, 0.6).set("speed", 0.5, 1.5)),
  KEYED_WRITES(
      "non-idempotent writes carry a token, as the site's keyed class does", Factor::keyWrites),
  FEW_STREAMS(
      "at most eight requests on a connection",
      site -> TableSelection.at(site, "tier", "conn").atMost("streams", 8));

  /** Fields of reports where a site had none. */
  private static final List<String> DEFAULT_FIELDS = List.of("inflight", "x0", "x1");

  private static final double HEAVY_SIGMA = 1.7;
  private static final double MIN_DEADLINE_IN_OBJECTIVES = 1.5;
  private static final int MIN_CACHES = 4;
  private static final int MIN_CORES = 2;
  private static final List<String> SERVER_COUNTS = List.of("servers", "big_servers");

  private final String displayName;
  private final String description;

  // The functions have no state.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Consumer<ObjectNode> change;

  /** A factor whose name in folders and tables follows from the constant. */
  Factor(String description, Consumer<ObjectNode> change) {
    this(null, description, change);
  }

  /** A factor whose name in folders and tables stays as it was first written. */
  Factor(String displayName, String description, Consumer<ObjectNode> change) {
    this.displayName =
        displayName == null ? name().toLowerCase(Locale.ROOT).replace('_', '-') : displayName;
    this.description = description;
    this.change = change;
  }

  /** The name in folders and tables. */
  String displayName() {
    return displayName;
  }

  /** What it changes, for people. */
  String description() {
    return description;
  }

  /** Changes the document. */
  void apply(ObjectNode document) {
    change.accept(document);
  }

  private static TableSelection tiers(ObjectNode site) {
    return TableSelection.at(site, "tier");
  }

  private static TableSelection reports(ObjectNode site) {
    return TableSelection.at(site, "tier", "report");
  }

  private static TableSelection cacheKinds(ObjectNode site) {
    return TableSelection.at(site, "tier", "kind");
  }

  private static TableSelection requestClasses(ObjectNode site) {
    return TableSelection.at(site, "class");
  }

  private static TableSelection family(ObjectNode site) {
    return TableSelection.at(site, "fam");
  }

  private static TableSelection permissions(ObjectNode site) {
    return TableSelection.at(site, "allow");
  }

  private static TableSelection clients(ObjectNode site) {
    return TableSelection.at(site, "clients");
  }

  private static void scaleLoad(ObjectNode site, double factor) {
    TableSelection.at(site, "load")
        .times("quiet", factor)
        .times("trouble", factor)
        .times("overload", factor)
        .times("big", factor);
  }

  private static void pollReports(ObjectNode site) {
    reports(site).set("how", "probe");
    reports(site).where(report -> report.path("fields").isEmpty()).set("fields", DEFAULT_FIELDS);
    permissions(site).set("probes", true);
  }

  private static void spreadSizes(ObjectNode site) {
    for (JsonNode objects : site.path("fam").path("class")) {
      double high = TableSelection.high(objects.path("size_sigma"));
      if (high > 0 && high < HEAVY_SIGMA) {
        TableSelection.at((ObjectNode) objects)
            .timesUpTo("size_sigma", HEAVY_SIGMA / high, HEAVY_SIGMA);
      }
    }
  }

  private static void halveDeadline(ObjectNode requestClass) {
    double least = MIN_DEADLINE_IN_OBJECTIVES * requestClass.path("aim_ms").asDouble();
    TableSelection.at(requestClass).timesDownTo("deadline_ms", 0.5, least).whole("deadline_ms");
  }

  private static void doubleObjective(ObjectNode requestClass) {
    TableSelection.at(requestClass)
        .timesUpTo("aim_ms", 2, requestClass.path("deadline_ms").asDouble(Double.MAX_VALUE));
  }

  private static void slowColdStarts(ObjectNode site) {
    cacheKinds(site).setPresent("cold_from", 0.05, 0.08).times("cold_s", 2);
    family(site).setPresent("parent_cold_from", 0.05, 0.08).times("parent_cold_s", 2);
  }

  private static void manySmallCaches(ObjectNode site) {
    for (String count : SERVER_COUNTS) {
      TableSelection.at(site, "scale").times(count, 2);
    }
    cacheKinds(site).timesDownTo("cores", 0.5, MIN_CORES).whole("cores");
  }

  /** The twin, the same day with fewer caches, gets no more caches than the day itself. */
  private static void fewLargeCaches(ObjectNode site) {
    TableSelection scale = TableSelection.at(site, "scale");
    for (String count : SERVER_COUNTS) {
      scale.timesDownTo(count, 0.5, MIN_CACHES).whole(count);
    }
    scale
        .where(table -> table.has("servers"))
        .each(
            table ->
                TableSelection.at(table)
                    .atMost("twin_servers", TableSelection.low(table.get("servers"))));
    cacheKinds(site).times("cores", 2);
  }

  private static void keyWrites(ObjectNode site) {
    requestClasses(site)
        .where(requestClass -> effect(requestClass).equals("keyed"))
        .findFirst()
        .ifPresent(
            keyed ->
                requestClasses(site)
                    .where(requestClass -> effect(requestClass).equals("unsafe"))
                    .each(requestClass -> copyEffect(keyed, requestClass)));
  }

  private static void copyEffect(ObjectNode from, ObjectNode to) {
    for (String key : List.of("effect", "group", "window_ms")) {
      if (from.has(key)) {
        to.set(key, from.get(key).deepCopy());
      }
    }
  }

  private static String effect(ObjectNode requestClass) {
    return requestClass.path("effect").asText();
  }
}
