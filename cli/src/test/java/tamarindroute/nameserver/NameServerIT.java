package tamarindroute.nameserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.example.ToyServer;

/** Settings, health probes and the control feed of the name server. */
class NameServerIT extends NameServerHarness {

  @Test
  void settingsAreReloadedCompletelyOrNotAtAll() throws Exception {
    NameServerProcess nameServer = startNameServer(4, STEERING);
    assertThat(nameServer.query("about.sheds.example", 1000).getRcode()).isZero();
    String instanceAttributes = "settings=\"config.json\"";
    nameServer.writeSettings(
        instanceAttributes, ZONE + steering(1).replace("shed-3", "shed-4") + UNLIMITED);
    nameServer.signal("HUP");
    nameServer.awaitLog("settings reloaded");
    assertThat(nameServer.queryAddresses("shed-4.sheds.example", 1000)).hasSize(1);
    assertThat(nameServer.query(SHED_3, 1000).getRcode()).isEqualTo(Rcode.NXDOMAIN);
    // The zone is valid and the locations are not, so neither is applied.
    Files.writeString(
        nameServer.folder.resolve("sheds.zone"),
        "$TTL 5\n@ IN SOA ns1 h ( 2 1 1 1 1 )\n IN NS ns1\nnew IN A 192.0.2.3\n");
    nameServer.writeSettings(
        instanceAttributes,
        ZONE + steering(1).replace("place=\"shed\"", "place=\"moon\"") + UNLIMITED);
    nameServer.signal("HUP");
    nameServer.awaitLog("the previous settings stay in use");
    assertThat(nameServer.log()).contains("moon");
    assertThat(nameServer.query("new.sheds.example", 1000).getRcode()).isEqualTo(Rcode.NXDOMAIN);
    assertThat(nameServer.queryAddresses("shed-4.sheds.example", 1000)).hasSize(1);
  }

  @Test
  void probesDetectADeadCacheAndItsReturn() throws Exception {
    ToyServer.Cache alive = closeLater(new ToyServer.Cache(0));
    ToyServer.Cache dying = new ToyServer.Cache(0);
    int port = dying.port();
    NameServerProcess nameServer =
        startNameServer(
            0,
            STEERING + "<probing every=\"PT0.1S\" within=\"PT0.2S\" most-per-second=\"100\"/>\n");
    // Both have the address 127.0.0.1 and differ by their ports.
    feed.publish(
        NameServerProcess.listEvent(
            loopbackEndpoint("s-a", alive.port()) + "," + loopbackEndpoint("s-b", port)));
    await(() -> ports(nameServer).equals(Set.of(alive.port(), port)));
    dying.close();
    await(() -> ports(nameServer).equals(Set.of(alive.port())));
    closeLater(new ToyServer.Cache(port));
    await(() -> ports(nameServer).equals(Set.of(alive.port(), port)));
  }

  private static String loopbackEndpoint(String id, int port) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
        + "\"state\":\"ready\",\"weight\":40,\"started_ms\":0}";
  }

  /** The ports in twelve answers. */
  private static Set<Integer> ports(NameServerProcess nameServer) throws IOException {
    Set<Integer> ports = new HashSet<>();
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 12; i++) {
        Message message =
            nameServer.query(
                socket, NameServerProcess.encodeQuery("_cache._tcp." + SHED_3, Type.SRV, i), 1000);
        for (Record record : message.getSection(Section.ANSWER)) {
          ports.add(((SRVRecord) record).getPort());
        }
      }
    }
    return ports;
  }

  @Test
  void feedConfiguredByNameIsResolvedAndFollowed() throws Exception {
    UpstreamServer resolver = closeLater(new UpstreamServer());
    resolver.address = "127.0.0.1";
    NameServerProcess nameServer =
        startNameServer(
            1,
            1,
            "feed=\"feed.sheds.test:" + feed.port() + "\"",
            "<resolvers><upstream address=\"127.0.0.1:"
                + resolver.port()
                + "\"/></resolvers>\n"
                + ZONE
                + steering(1)
                + UNLIMITED);
    publish(0, "gone", 0);
    publish(1, "ready", 0);
    await(() -> nameServer.queryAddresses(SHED_3, 1000).equals(List.of("127.0.1.2")));
  }
}
