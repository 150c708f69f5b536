package tamarindroute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;
import tamarindroute.host.PlatformConfiguration;

/** Every key of the settings that is read, with what it is decoded to. */
class SettingsFormatTest {

  private static final String LINES =
      """
            Classes.count=3
            Classes.0.Name=clip
            Classes.0.Semantics=pure
            Classes.0.Group=all
            Classes.0.WindowNs=3000000001
            Classes.0.GoalTimeNs=1500000002
            Classes.0.AimStretch=1.6
            Classes.0.DeadlineNs=2500000003
            Classes.1.Name=pick
            Classes.1.Semantics=token
            Classes.1.Group=zone
            Classes.1.WindowNs=4000000000
            Classes.1.GoalTimeNs=600000000
            Classes.1.DeadlineNs=3500000000
            Classes.2.Name=once
            Classes.2.Semantics=side_effect
            Classes.2.Group=cell
            Classes.2.WindowNs=0
            Classes.2.GoalTimeNs=700000000
            Classes.2.AimStretch=2.5
            Classes.2.DeadlineNs=1000000000
            FamilyInfo.BypassAllowed=true
            FamilyInfo.CountByZone=3,5
            FamilyInfo.GoneEverywhereNs=6000000000
            FamilyInfo.HubOf=0,1
            FamilyInfo.InletKbPerS=12.5,994520.0
            FamilyInfo.MaxAgeNs=7000000000,0,8000000000
            FamilyInfo.MidKind=1
            FamilyInfo.Neighbours=location
            FamilyInfo.NeverKept=false,true,false
            FamilyInfo.PaceKbPerS=8500.0
            FamilyInfo.ParentFallMultiple=2.25
            FamilyInfo.ParentStartsAt=0.064
            FamilyInfo.Says=all
            FamilyInfo.StoreKind=2
            FamilyInfo.UpperColdNs=22000000000
            Limits.Cancel=true
            Limits.ConnectTimeoutNs=410000000
            Limits.KeepaliveNs=15000000000
            Limits.MaxRetryAfterNs=500000000
            Limits.MaxStreams=101
            Limits.OpenCap=20001
            Limits.RetryAfter=true
            Limits.SecondCopies=true
            Limits.TryLimit=8
            Obligations.ColdFrom=0.22
            Obligations.ColdNs=17000000000
            Obligations.FallMultiple=3.5
            Obligations.FallNs=2000000000
            Obligations.MustAskInNs=9000000000
            Discovery=subscribe
            ReplicasOfMe=24
            Skus=edge,parent,origin
            Telemetry.Fields=utilization,outstanding
            Weights=live
            Zone=1
            Zones=hub,shed
            """;

  private static final RequestClass CLIP =
      new RequestClass(
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.DeduplicationScope.ALL,
          Duration.ofNanos(3_000_000_001L),
          Duration.ofNanos(1_500_000_002L),
          1.6,
          true,
          Duration.ofSeconds(7));
  private static final RequestClass PICK =
      new RequestClass(
          RequestClass.Idempotency.KEYED,
          RequestClass.DeduplicationScope.ZONE,
          Duration.ofSeconds(4),
          Duration.ofMillis(600),
          0,
          false,
          Duration.ZERO);
  private static final RequestClass ONCE =
      new RequestClass(
          RequestClass.Idempotency.NON_IDEMPOTENT,
          RequestClass.DeduplicationScope.CELL,
          Duration.ZERO,
          Duration.ofMillis(700),
          2.5,
          true,
          Duration.ofSeconds(8));

  @Test
  void policySettingsOfTheLinesAreDecoded() throws Exception {
    SettingsReader reader = SettingsReader.ofLines(LINES);
    assertThat(reader.validate()).isEmpty();
    assertThat(reader.settings(77))
        .isEqualTo(
            new PolicySettings(
                77,
                1,
                24,
                5,
                List.of(0, 1),
                8500,
                994520,
                true,
                true,
                true,
                true,
                true,
                Duration.ofMillis(500),
                8,
                new PolicySettings.ColdStart(
                    0.22, Duration.ofSeconds(17), 3.5, Duration.ofSeconds(2)),
                new PolicySettings.ColdStart(
                    0.064, Duration.ofSeconds(22), 2.25, Duration.ofSeconds(2)),
                Duration.ofSeconds(6),
                PolicySettings.WeightMeaning.LIVE));
  }

  @Test
  void otherSettingsOfTheLinesAreDecoded() throws Exception {
    SettingsReader reader = SettingsReader.ofLines(LINES);
    assertThat(reader.requestClasses()).containsExactly(CLIP, PICK, ONCE);
    assertThat(reader.requestClassesByName())
        .containsExactly(Map.entry("clip", CLIP), Map.entry("pick", PICK), Map.entry("once", ONCE));
    assertThat(reader.requestClassNames()).containsExactly("clip", "pick", "once");
    assertThat(reader.longestDeadline()).isEqualTo(Duration.ofMillis(3500));
    assertThat(reader.parentKind()).isEqualTo(1);
    assertThat(reader.originKind()).isEqualTo(2);
    assertThat(reader.zones()).containsExactly("hub", "shed");
    assertThat(reader.kinds()).containsExactly("edge", "parent", "origin");
    assertThat(reader.reportFields()).containsExactly("utilization", "outstanding");
    assertThat(reader.mustSubscribe()).isTrue();
    assertThat(reader.subscribeWithin()).isEqualTo(Duration.ofSeconds(9));
    assertThat(reader.maxInFlight()).isEqualTo(20001);
    assertThat(reader.maxRequestsPerConnection()).isEqualTo(101);
    assertThat(reader.connectTimeout()).isEqualTo(Duration.ofMillis(410));
    assertThat(reader.keepAlive()).isEqualTo(Duration.ofSeconds(15));
  }

  @Test
  void absentSettingsAreDecodedToTheDefaults() throws Exception {
    SettingsReader reader = SettingsReader.ofLines("");
    PolicySettings.ColdStart start =
        new PolicySettings.ColdStart(1, Duration.ZERO, 1, Duration.ofSeconds(1));
    assertThat(reader.settings(5))
        .isEqualTo(
            new PolicySettings(
                5,
                0,
                1,
                1,
                List.of(),
                0,
                0,
                false,
                false,
                false,
                false,
                false,
                null,
                1,
                start,
                start,
                Duration.ofSeconds(60),
                PolicySettings.WeightMeaning.OFF));
    assertThat(reader.requestClasses()).isEmpty();
    assertThat(reader.parentKind()).isEqualTo(-1);
    assertThat(reader.originKind()).isEqualTo(-1);
    assertThat(reader.reportFields()).isEmpty();
    assertThat(reader.mustSubscribe()).isFalse();
    assertThat(reader.subscribeWithin()).isZero();
    assertThat(reader.maxInFlight()).isEqualTo(Integer.MAX_VALUE);
    assertThat(reader.maxRequestsPerConnection()).isEqualTo(Integer.MAX_VALUE);
    assertThat(reader.connectTimeout()).isEqualTo(Duration.ofMillis(400));
    assertThat(reader.keepAlive()).isZero();
    assertThat(reader.longestDeadline()).isZero();
  }

  @Test
  void keywordsOfTheSettingsAreDecoded() throws Exception {
    assertThat(settings("Weights=nominal").weightMeaning())
        .isEqualTo(PolicySettings.WeightMeaning.NOMINAL);
    assertThat(settings("Weights=rough").weightMeaning())
        .isEqualTo(PolicySettings.WeightMeaning.ROUGH);
    assertThat(settings("Weights=off").weightMeaning()).isEqualTo(PolicySettings.WeightMeaning.OFF);
    assertThat(settings("FamilyInfo.Neighbours=any").siblingFillAllowed()).isTrue();
    assertThat(settings("FamilyInfo.Neighbours=off").siblingFillAllowed()).isFalse();
    assertThat(settings("FamilyInfo.Says=hit").reportsFillSource()).isFalse();
    assertThat(settings("Limits.MaxRetryAfterNs=5").maxRetryAfter()).isNull();
    assertThat(SettingsReader.ofLines("Discovery=automatic").mustSubscribe()).isFalse();
  }

  private static PolicySettings settings(String line) throws Exception {
    return SettingsReader.ofLines(line).settings(0);
  }

  @Test
  void configurationFileIsDecoded() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    assertThat(configuration.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 7000));
    assertThat(configuration.feed()).isEqualTo(new InetSocketAddress("127.0.0.1", 7001));
    assertThat(configuration.seed()).isEqualTo(0x8c1f30d27a5be964L);
    assertThat(configuration.memoryBytes()).isEqualTo(192L * 1024 * 1024);
    assertThat(configuration.descriptorLimit()).isEqualTo(1024);
    assertThat(configuration.bootstrapEvents())
        .startsWith(
            "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,"
                + "\"servers\":[{\"id\":\"s-0000000a\",\"addr\":\"127.0.0.1:7011\",\"zone\":\"shed\"");
  }

  @Test
  void policySettingsOfTheConfigurationFileAreDecoded() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    assertThat(configuration.settings().settings(configuration.seed()))
        .isEqualTo(
            new PolicySettings(
                0x8c1f30d27a5be964L,
                1,
                1,
                1,
                List.of(0, 0),
                8500,
                994520,
                false,
                true,
                true,
                false,
                true,
                Duration.ofMillis(500),
                8,
                new PolicySettings.ColdStart(
                    0.22, Duration.ofSeconds(17), 3, Duration.ofSeconds(2)),
                new PolicySettings.ColdStart(
                    0.064, Duration.ofSeconds(22), 2, Duration.ofSeconds(2)),
                Duration.ofSeconds(6),
                PolicySettings.WeightMeaning.OFF));
  }

  @Test
  void requestClassesOfTheConfigurationFileAreDecoded() throws Exception {
    SettingsReader reader =
        PlatformConfiguration.read(Path.of("example/config.json").toString()).settings();
    assertThat(reader.requestClassesByName())
        .containsExactly(
            Map.entry(
                "clip",
                new RequestClass(
                    RequestClass.Idempotency.IDEMPOTENT,
                    RequestClass.DeduplicationScope.ALL,
                    Duration.ofSeconds(3),
                    Duration.ofMillis(1500),
                    1.6,
                    true,
                    Duration.ZERO)),
            Map.entry(
                "pick",
                new RequestClass(
                    RequestClass.Idempotency.KEYED,
                    RequestClass.DeduplicationScope.ALL,
                    Duration.ofSeconds(3),
                    Duration.ofMillis(600),
                    0,
                    false,
                    Duration.ZERO)),
            Map.entry(
                "once",
                new RequestClass(
                    RequestClass.Idempotency.NON_IDEMPOTENT,
                    RequestClass.DeduplicationScope.CELL,
                    Duration.ofSeconds(3),
                    Duration.ofMillis(600),
                    0,
                    false,
                    Duration.ZERO)));
  }
}
