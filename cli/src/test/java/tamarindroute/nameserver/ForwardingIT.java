package tamarindroute.nameserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Forwarding of queries to upstream servers that are slow, dead or forging. */
class ForwardingIT extends NameServerHarness {

  private static String forward(UpstreamServer... upstreams) {
    StringBuilder text = new StringBuilder("<forward zone=\"north.example.\" within=\"PT2S\">");
    for (UpstreamServer upstream : upstreams) {
      text.append("<upstream address=\"127.0.0.1:").append(upstream.port()).append("\"/>");
    }
    return text.append("</forward>\n").toString();
  }

  private UpstreamServer startUpstream() throws IOException {
    return closeLater(new UpstreamServer());
  }

  @Test
  void deadSlowAndForgingUpstreamsDoNotFailQueries() throws Exception {
    UpstreamServer first = startUpstream();
    UpstreamServer second = startUpstream();
    first.ttl = 0;
    second.ttl = 0;
    first.behavior = UpstreamServer.Behavior.SILENT;
    second.address = "192.0.2.78";
    NameServerProcess nameServer = startNameServer(2, STEERING + forward(first, second));
    for (int i = 0; i < 30; i++) {
      assertThat(nameServer.queryAddresses("a" + i + ".north.example", 2000))
          .containsExactly("192.0.2.78");
    }
    assertThat(first.queries.get()).as("of 30 queries, while it is dead").isLessThan(15);
    second.behavior = UpstreamServer.Behavior.FORGE;
    for (int i = 0; i < 10; i++) {
      assertThat(nameServer.queryAddresses("b" + i + ".north.example", 2000))
          .containsExactly("192.0.2.78");
    }
    second.behavior = UpstreamServer.Behavior.TRUNCATE;
    assertThat(nameServer.queryAddresses("c.north.example", 2000)).containsExactly("192.0.2.78");
    assertThat(second.tcpQueries.get()).isPositive();
    second.behavior = UpstreamServer.Behavior.REFUSE;
    first.behavior = UpstreamServer.Behavior.ANSWER;
    first.delayMillis = 60;
    for (int i = 0; i < 5; i++) {
      assertThat(nameServer.queryAddresses("d" + i + ".north.example", 2500))
          .containsExactly("192.0.2.77");
    }
  }

  @Test
  void failedUpstreamsCauseNoRetryStormAndStaleAnswersAreServed() throws Exception {
    UpstreamServer only = startUpstream();
    NameServerProcess nameServer = startNameServer(2, STEERING + forward(only));
    assertThat(nameServer.queryAddresses("known.north.example", 2000))
        .containsExactly("192.0.2.77");
    only.behavior = UpstreamServer.Behavior.SILENT;
    TimeUnit.MILLISECONDS.sleep(1100);
    int before = only.queries.get();
    long from = System.nanoTime();
    Message stale = nameServer.query("known.north.example", 2500);
    assertThat(NameServerProcess.addresses(stale)).containsExactly("192.0.2.77");
    assertThat(stale.getSection(Section.ANSWER).get(0).getTTL()).isEqualTo(30);
    assertThat(System.nanoTime() - from).isLessThan(TimeUnit.MILLISECONDS.toNanos(1800));
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 100; i++) {
        byte[] query = NameServerProcess.encodeQuery("u" + i + ".north.example", Type.A, i);
        socket.send(new DatagramPacket(query, query.length, nameServer.address));
      }
      socket.setSoTimeout(5000);
      for (int i = 0; i < 100; i++) {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        assertThat(packet.getData()[3] & 0xF).isEqualTo(Rcode.SERVFAIL);
      }
    }
    assertThat(only.queries.get() - before).as("attempts for 101 queries").isLessThan(130);
  }

  @Test
  void equalQueriesAreCoalescedAndSigtermAnswersQueriesInFlight() throws Exception {
    UpstreamServer slow = startUpstream();
    slow.delayMillis = 250;
    NameServerProcess nameServer = startNameServer(2, STEERING + forward(slow));
    nameServer.query("warm.north.example", 2000);
    int before = slow.queries.get();
    slow.delayMillis = 90;
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 50; i++) {
        byte[] query = NameServerProcess.encodeQuery("one.north.example", Type.A, i);
        socket.send(new DatagramPacket(query, query.length, nameServer.address));
      }
      TimeUnit.MILLISECONDS.sleep(30);
      nameServer.signal("TERM");
      socket.setSoTimeout(3000);
      Set<Integer> ids = new HashSet<>();
      for (int i = 0; i < 50; i++) {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        ids.add(packet.getData()[1] & 0xFF);
        assertThat(packet.getData()[3] & 0xF).isZero();
      }
      assertThat(ids).hasSize(50);
    }
    assertThat(slow.queries.get() - before).isLessThanOrEqualTo(2);
    assertThat(nameServer.process.waitFor(5, TimeUnit.SECONDS)).isTrue();
  }
}
