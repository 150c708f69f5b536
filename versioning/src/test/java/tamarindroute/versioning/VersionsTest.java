package tamarindroute.versioning;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tamarindroute.versioning.FirstAttemptVersions.Knowledge;

/**
 * Guards against a request or response in a schema version that its receiver can't read, and
 * against retries of a keyed request in another version than the first attempt. Both can happen
 * while clients, caches and fill sources support different versions, or when reports of first
 * attempts arrive repeatedly and in different orders.
 */
class VersionsTest {
  private static final Duration RETENTION = Duration.ofSeconds(10);
  private static final int EIGHT_VERSIONS_MASK = 0xFF;

  private record Report(long request, int version, int ageSeconds) {}

  private static VersionSet versionsZeroToSeven(int bits) {
    return new VersionSet(bits & EIGHT_VERSIONS_MASK);
  }

  @Property(tries = 300, seed = "7")
  void parsesWhatItFormats(@ForAll long bits) {
    VersionSet set = new VersionSet(bits);
    assertThat(bits == 0 ? VersionSet.NONE : VersionSet.parse(set.toString())).isEqualTo(set);
  }

  @Test
  void parsesRangesAndRejectsOtherTextsWithAReason() {
    assertThat(VersionSet.parse("0, 2-4")).isEqualTo(VersionSet.of(0, 2, 3, 4));
    for (String invalid : List.of("", "64", "3-1", "1-2-3", "a", "-1", "1,,2", "0".repeat(201))) {
      assertThatThrownBy(() -> VersionSet.parse(invalid))
          .as(invalid)
          .isInstanceOf(IllegalArgumentException.class)
          .message()
          .isNotBlank();
    }
  }

  @Property(tries = 2000, seed = "11")
  void choosesTheNewestVersionThatAllReadAndWrite(
      @ForAll int client,
      @ForAll int usable,
      @ForAll int reads,
      @ForAll int writes,
      @ForAll int sourceReads,
      @ForAll int sourceWrites) {
    PeerVersionRange cache =
        new PeerVersionRange(versionsZeroToSeven(reads), versionsZeroToSeven(writes));
    PeerVersionRange source =
        new PeerVersionRange(versionsZeroToSeven(sourceReads), versionsZeroToSeven(sourceWrites));
    VersionNegotiation negotiation =
        VersionNegotiation.anyVersion(versionsZeroToSeven(client), versionsZeroToSeven(usable));
    int lookup = negotiation.lookupVersion(cache);
    int fill = negotiation.fillVersion(cache, source);
    for (int version = 0; version < 8; version++) {
      int bit = 1 << version;
      boolean common = (client & usable & reads & writes & bit) != 0;
      boolean commonWithSource = common && (sourceReads & sourceWrites & bit) != 0;
      assertThat(common && version > lookup).as("a newer common version than chosen").isFalse();
      assertThat(version == lookup && !common).isFalse();
      assertThat(version == fill && !commonWithSource).isFalse();
    }
    assertThat(negotiation.isPossible(List.of(cache)))
        .isEqualTo(lookup != VersionNegotiation.NO_VERSION);
  }

  @Property(tries = 500, seed = "13")
  void keyedRequestUsesOnlyTheVersionOfItsFirstAttempt(
      @ForAll int client, @ForAll int supported, @ForAll byte first) {
    VersionSet clientReads = versionsZeroToSeven(client);
    PeerVersionRange cache =
        new PeerVersionRange(versionsZeroToSeven(supported), versionsZeroToSeven(supported));
    int version = first & 7;
    assertThat(
            VersionNegotiation.sameVersion(clientReads, OptionalInt.of(version))
                .lookupVersion(cache))
        .isIn(version, VersionNegotiation.NO_VERSION);
    assertThat(
            VersionNegotiation.sameVersion(clientReads, OptionalInt.empty()).lookupVersion(cache))
        .isEqualTo(VersionNegotiation.NO_VERSION);
  }

  @Test
  void clientWithoutACommonVersionReceivesTheSupportedVersions() {
    List<PeerVersionRange> caches =
        List.of(
            PeerVersionRange.OLDEST,
            new PeerVersionRange(VersionSet.of(0, 1, 2), VersionSet.of(1, 2)));
    assertThat(
            VersionNegotiation.anyVersion(VersionSet.of(5), VersionSet.of(0, 1, 5))
                .isPossible(caches))
        .isFalse();
    assertThat(VersionNegotiation.supported(caches)).isEqualTo(VersionSet.of(0, 1, 2));
  }

  @Property(tries = 200, seed = "17")
  void reportsOfFirstAttemptsMergeInAnyOrder(@ForAll long seed) {
    Random random = new Random(seed);
    List<Report> reports = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      reports.add(new Report(random.nextInt(4), random.nextInt(2), random.nextInt(8)));
    }
    reports.addAll(reports.subList(0, 4));
    FirstAttemptVersions inOrder = recorded(reports);
    Collections.shuffle(reports, random);
    FirstAttemptVersions shuffled = recorded(reports);
    Duration now = Duration.ofSeconds(100);
    for (long request = 0; request < 5; request++) {
      Knowledge knowledge = inOrder.lookup(request, false, now);
      boolean reportedOld = isReported(reports, request, 0);
      boolean reportedNew = isReported(reports, request, 1);
      boolean conflicting = reportedOld && reportedNew;
      boolean reported = reportedOld || reportedNew;
      assertThat(knowledge).isEqualTo(shuffled.lookup(request, false, now));
      assertThat(knowledge instanceof Knowledge.Unknown).isEqualTo(conflicting || !reported);
    }
  }

  private static boolean isReported(List<Report> reports, long request, int version) {
    return reports.stream()
        .anyMatch(report -> report.request() == request && report.version() == version);
  }

  private static FirstAttemptVersions recorded(List<Report> reports) {
    FirstAttemptVersions versions = new FirstAttemptVersions(100, RETENTION);
    reports.forEach(
        report ->
            versions.onAttempt(
                report.request(),
                report.version(),
                Duration.ofSeconds(report.ageSeconds()),
                Duration.ofSeconds(100)));
    return versions;
  }

  @Test
  void retryWithoutAnEntryMayHaveUsedAnyVersion() {
    FirstAttemptVersions versions = new FirstAttemptVersions(2, RETENTION);
    Duration now = Duration.ofSeconds(50);
    assertThat(versions.lookup(1, true, now)).isEqualTo(new Knowledge.NotAttempted());
    versions.onAttempt(1, 3, Duration.ZERO, now);
    assertThat(versions.lookup(1, false, now)).isEqualTo(new Knowledge.Known(3));
    versions.onAttempt(2, 3, Duration.ZERO, now);
    versions.onAttempt(3, 3, Duration.ZERO, now);
    assertThat(versions.size()).isEqualTo(2);
    assertThat(versions.lookup(1, false, now))
        .as("dropped at capacity")
        .isEqualTo(new Knowledge.Unknown());
    assertThat(versions.lookup(2, false, now.plus(RETENTION)))
        .as("expired")
        .isEqualTo(new Knowledge.Unknown());
  }

  @Test
  void neighbouringFleetVersionsMustShareASchemaVersion() {
    assertThatThrownBy(() -> new VersionTable(List.of(VersionSet.of(0), VersionSet.of(1))))
        .hasMessage("fleet versions 0 and 1 share no schema version, must share at least one");
    assertThat(new FleetVersion(1, FleetVersion.Phase.STABLE).joinRefusal(0, 0))
        .contains("peer supports fleet versions 0 to 0, must support the settled version 1");
    assertThat(new FleetVersion(1, FleetVersion.Phase.TRIAL).joinRefusal(0, 1)).isEmpty();
  }
}
