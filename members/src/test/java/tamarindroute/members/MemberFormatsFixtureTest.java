package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MembershipSettings;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Sealed datagrams, the incarnation file, the settings file and feed event checksums, pinned as
 * they are.
 */
class MemberFormatsFixtureTest {

  private static final List<String> SEALED =
      List.of(
          "050000000000000007000000000000000008011001180122100a093132372e302e302e3110aa4618073a0101"
              + "94636f29d0ed3e914de5ad7b041a1bd36093dc8c236f2dc8471311649c79b339",
          "050000000000000007000000000000000108011001180122100a093132372e302e302e3110aa4618073a0101"
              + "412467595173e06bd13b79d5a09c67f6776d01ccc8b7c83cc9a91f771a08722e");

  private static final Member OTHER = new Member(new Address("127.0.0.1", 9002), 1);

  private static final String SETTINGS =
      """
      <?xml version="1.0" encoding="UTF-8"?>
      <members xmlns="urn:tamarindroute:members:1" listen="0.0.0.0:9001" name="10.0.0.1:9101" state="s.birth">
        <key id="7" file="new.key"/>
        <key id="6" file="old.key"/>
        <seed address="10.0.0.1:9101"/>
        <seed address="10.0.0.2:9101"/>
        <voter address="10.0.0.1:9101"/>
        <voter address="[::1]:9101"/>
        <way to="10.0.0.2:9101" by="127.0.0.1:19002"/>
        <timing probe="PT2S" timeout="PT0.15S" pause="PT1M"/>
        <limits bytes="8192" members="6000"/>
      </members>
      """;

  @TempDir Path folder;

  private static MessageAuthenticator seal() {
    return new MessageAuthenticator(
        Map.of(
            5,
            HexFormat.of()
                .parseHex("000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f")),
        5);
  }

  @Test
  void datagramsAreSealedWithKeyIdIncarnationCounterAndHmac() throws Exception {
    MemberMessage message =
        MemberMessage.of(
            new Member(new Address("127.0.0.1", 9002), 7),
            0,
            new MemberMessage.FactsPayload(new byte[] {1}));
    SealedChannel sender = new SealedChannel(seal(), 2);
    SealedChannel receiver = new SealedChannel(seal(), 2);
    for (String datagram : SEALED) {
      assertThat(HexFormat.of().formatHex(sender.seal(message))).isEqualTo(datagram);
      assertThat(
              receiver
                  .open(
                      HexFormat.of().parseHex(datagram),
                      new Member(new Address("127.0.0.1", 9001), 5))
                  .message())
          .isEqualTo(message);
    }
  }

  @Test
  void incarnationFileHoldsOneDecimalNumberAndALineEnd() throws Exception {
    Path file = folder.resolve("members.birth");
    new IncarnationFile(file).store(1_700_000_000_123L);
    assertThat(Files.readString(file)).isEqualTo("1700000000123\n");
    assertThat(folder).isDirectoryNotContaining("glob:**.new");
    Files.writeString(file, " 42\r\n");
    assertThat(new IncarnationFile(file).propose(7)).isEqualTo(43);
  }

  @Test
  void everySettingIsReadFromTheFile() throws Exception {
    Files.writeString(folder.resolve("new.key"), "ab".repeat(16));
    Files.writeString(folder.resolve("old.key"), "CD".repeat(64) + "\n");
    Path file = Files.writeString(folder.resolve("members.xml"), SETTINGS);
    MemberConfiguration configuration = MemberConfiguration.read(file);
    assertThat(configuration.listenAddress()).isEqualTo(new InetSocketAddress("0.0.0.0", 9001));
    assertThat(configuration.advertisedAddress()).isEqualTo(new Address("10.0.0.1", 9101));
    assertThat(configuration.incarnationFile()).isEqualTo(folder.resolve("s.birth"));
    assertThat(configuration.authenticator().seal(new byte[0], 1, 0)[0]).isEqualTo((byte) 7);
    assertThat(configuration.seeds()).containsExactly(new Address("10.0.0.2", 9101));
    assertThat(configuration.voters())
        .containsExactly(new Address("10.0.0.1", 9101), new Address("0:0:0:0:0:0:0:1", 9101));
    assertThat(configuration.addressOverrides())
        .containsExactly(
            Map.entry(new Address("10.0.0.2", 9101), new InetSocketAddress("127.0.0.1", 19002)));
    MembershipSettings defaults = MembershipSettings.DEFAULTS;
    assertThat(configuration.membershipSettings())
        .isEqualTo(
            new MembershipSettings(
                Duration.ofSeconds(2),
                Duration.ofMillis(150),
                Duration.ofMinutes(1),
                defaults.indirectProbes(),
                defaults.suspectProbers(),
                defaults.lowWatermark(),
                defaults.highWatermark(),
                defaults.maxUpdatesPerMessage(),
                8_192,
                6_000,
                defaults.guards()));
  }

  @Test
  void feedEventIsSentAsCompactJsonWithTheChecksumOfTheOneBefore() {
    List<MemberMessage.Payload> sent = new ArrayList<>();
    FeedEventReplicator replicator =
        new FeedEventReplicator(
            new Address("127.0.0.1", 9001), new AppliedUpTo(2), NO_TASKS, recordingPeers(sent));
    replicator.onFeedText(
        "{ \"n\": 2, \"events\": [ {\"n\": 1, \"purge\": {\"key\": \"a\"}},"
            + " {\"n\": 2, \"drain\": \"b\"} ]}");
    replicator.onFeedEvents(OTHER, new MemberMessage.FeedEventsPayload(1, List.of()));
    // The CRC-32 of {"n":1,"purge":{"key":"a"}}.
    MemberMessage.FeedEvent event =
        new MemberMessage.FeedEvent(2, 2_121_522_556L, "{\"n\":2,\"drain\":\"b\"}");
    assertThat(sent).containsExactly(new MemberMessage.FeedEventsPayload(2, List.of(event)));
  }

  /** Follows a feed whose events were applied up to a number. */
  private record AppliedUpTo(long lastNumber) implements FeedEventReplicator.FeedFollower {
    @Override
    public boolean apply(long number, String event) {
      return false;
    }
  }

  private static FeedEventReplicator.Peers recordingPeers(List<MemberMessage.Payload> sent) {
    return new FeedEventReplicator.Peers() {
      @Override
      public List<Member> liveOthers() {
        return new ArrayList<>();
      }

      @Override
      public void send(Member to, MemberMessage.Payload payload) {
        sent.add(payload);
      }
    };
  }

  private static final Scheduler NO_TASKS =
      new Scheduler() {
        @Override
        public Duration now() {
          return Duration.ZERO;
        }

        @Override
        public void execute(Runnable task) {}

        @Override
        public Runnable schedule(Duration delay, Runnable task) {
          return () -> {};
        }
      };
}
