package tamarindroute.nameserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.example.ToyServer;

/**
 * The name server as a process, between stand-in resolvers, feed, caches and upstreams on loopback.
 */
@Timeout(90)
class NameServerIT {

  private static final String ZONE = "<zone name=\"sheds.example.\" file=\"sheds.zone\"/>\n";
  private static final String STEER =
      "<steer zone=\"sheds.example.\" carries=\"CARRIES\"><location label=\"shed-3\""
          + " place=\"shed\"/><profile label=\"clip\" name=\"clip\"/></steer>\n";
  private static final String FREE = "<limits answers-per-second=\"0\"/>\n";
  private static final int PORT = 5050;

  @TempDir Path folder;
  private ToyServer.Feed feed;
  private final List<AutoCloseable> open = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    feed = new ToyServer.Feed(0);
    open.add(feed);
  }

  @AfterEach
  void stop() throws Exception {
    for (int i = open.size() - 1; i >= 0; i--) {
      open.get(i).close();
    }
  }

  private Program program(int edges, int instances, String instance, String inside)
      throws Exception {
    Program program =
        new Program(
            folder.resolve("n" + open.size()),
            feed.port(),
            edges,
            PORT,
            instances,
            instance,
            inside);
    program.start();
    open.add(program);
    return program;
  }

  private static String steer(double carries) {
    return STEER.replace("CARRIES", String.valueOf(carries));
  }

  /** A span in which an address must not be answered, in nanoseconds. */
  private record Barred(String address, long from, long until) {}

  private record Answered(String address, long at) {}

  @Test
  void aCacheDrainedUnderLoadIsGoneFromEveryAnswerAfterHalfASecondTwoHundredTimes()
      throws Exception {
    int edges = 32;
    Program program = program(edges, 1, "", ZONE + steer(1) + FREE);
    ConcurrentLinkedQueue<Answered> answers = new ConcurrentLinkedQueue<>();
    List<Thread> load = new ArrayList<>();
    long[] end = {Long.MAX_VALUE};
    for (int i = 0; i < 4; i++) {
      int number = i;
      Thread thread =
          new Thread(
              () -> {
                Random random = new Random(number);
                try (DatagramSocket socket =
                    new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                  while (System.nanoTime() < end[0]) {
                    boolean service = random.nextInt(4) == 0;
                    String name =
                        (service ? "_cache._tcp." : "")
                            + switch (random.nextInt(3)) {
                              case 0 -> "";
                              case 1 -> "clip.";
                              default -> "p" + random.nextInt(64) + ".";
                            }
                            + "shed-3.sheds.example";
                    Message message =
                        program.ask(
                            socket, Program.query(name, service ? Type.SRV : Type.A, 9), 500);
                    long now = System.nanoTime();
                    Program.addresses(message).forEach(one -> answers.add(new Answered(one, now)));
                    TimeUnit.MICROSECONDS.sleep(200);
                  }
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      load.add(thread);
      thread.start();
    }
    List<Barred> barred = new ArrayList<>();
    Map<Integer, Long> drained = new HashMap<>();
    Random random = new Random(1);
    while (barred.size() < 200) {
      long now = System.nanoTime();
      for (int i : List.copyOf(drained.keySet())) {
        if (now - drained.get(i) > TimeUnit.MILLISECONDS.toNanos(700)) {
          barred.add(new Barred("127.0.1." + (i + 1), drained.get(i) + 500_000_000L, now));
          drained.remove(i);
          feed.tell(Program.event(i, PORT, "ready", 0));
        }
      }
      int next = random.nextInt(edges);
      if (!drained.containsKey(next)) {
        drained.put(next, System.nanoTime());
        feed.tell(Program.event(next, PORT, "draining", 0));
      }
      TimeUnit.MILLISECONDS.sleep(35);
    }
    end[0] = 0;
    for (Thread thread : load) {
      thread.join();
    }
    assertThat(answers.size()).as("answers").isGreaterThan(5000);
    Set<String> seen = new HashSet<>();
    for (Answered answer : answers) {
      seen.add(answer.address);
      assertThat(barred)
          .noneMatch(
              one ->
                  one.address.equals(answer.address)
                      && answer.at > one.from
                      && answer.at < one.until);
    }
    assertThat(seen).as("all take part while they are ready").hasSize(edges);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void aCacheRestartedColdGetsItsBoundAtTheMostThroughResolversThatKeepAnswers(int instances)
      throws Exception {
    List<Program> programs = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      programs.add(program(4, instances, "", ZONE + steer(4) + FREE));
    }
    double multiple = 3;
    double from = 0.22;
    double warmAfter = 17;
    int resolvers = 60;
    double[] until = new double[resolvers];
    double[] expires = new double[resolvers];
    String[] keeps = new String[resolvers];
    Random random = new Random(2);
    long zero = System.nanoTime();
    long restarted = 0;
    boolean gone = false;
    double worst = 0;
    double most = 0;
    for (double now = 0; now < 11; now = (System.nanoTime() - zero) * 1e-9) {
      if (!gone && now > 0.5) {
        gone = true;
        feed.tell(Program.event(0, PORT, "gone", 0));
      } else if (restarted == 0 && now > 3.5) {
        restarted = System.currentTimeMillis();
        feed.tell(Program.event(0, PORT, "ready", restarted));
      }
      for (int i = 0; i < resolvers; i++) {
        if (until[i] <= now) {
          Message message =
              programs.get(random.nextInt(instances)).ask("shed-3.sheds.example", 1000);
          List<String> told = Program.addresses(message);
          keeps[i] = told.isEmpty() ? null : told.get(0);
          double ttl = told.isEmpty() ? 0.2 : message.getSection(Section.ANSWER).get(0).getTTL();
          // Kept for its TTL; the clients ask again when they next need it.
          expires[i] = (System.nanoTime() - zero) * 1e-9 + ttl;
          until[i] = expires[i] + 0.3 * random.nextDouble();
        }
      }
      if (restarted > 0) {
        double age = (System.currentTimeMillis() - restarted) / 1000.0;
        double load = 0;
        double at = (System.nanoTime() - zero) * 1e-9;
        for (int i = 0; i < resolvers; i++) {
          load += "127.0.1.1".equals(keeps[i]) && expires[i] > at ? 4 : 0;
        }
        most = Math.max(most, load);
        worst = Math.max(worst, load / (multiple * 40 * (from + (1 - from) * age / warmAfter)));
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(worst).as("of what pushes it over").isLessThanOrEqualTo(1);
    assertThat(most).as("it is not left out").isGreaterThanOrEqualTo(8);
  }

  @Test
  void aMassRestartGivesEachCacheItsBoundAndTheRestIsTurnedAwayAtOnce() throws Exception {
    Program program = program(4, 1, "", ZONE + steer(1) + FREE);
    program.ask("shed-3.sheds.example", 1000);
    TimeUnit.MILLISECONDS.sleep(1200);
    long started = System.currentTimeMillis();
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 4; i++) {
      all.append(i == 0 ? "" : ",").append(Program.server(i, PORT, "ready", started));
    }
    feed.tell("{\"n\":N,\"members\":{\"version\":2,\"full\":true,\"servers\":[" + all + "]}}");
    TimeUnit.MILLISECONDS.sleep(100);
    Map<String, Integer> given = new HashMap<>();
    int turnedAway = 0;
    long from = System.nanoTime();
    for (int i = 0; i < 300; i++) {
      Message message = program.ask("shed-3.sheds.example", 1000);
      if (message.getRcode() == Rcode.SERVFAIL) {
        turnedAway++;
        assertThat(message.getOPT().getOptions(15)).isNotEmpty();
      }
      Program.addresses(message).forEach(one -> given.merge(one, 1, Integer::sum));
    }
    double seconds = (System.nanoTime() - from) * 1e-9 + 0.2;
    // Answers of a second ago may have run out and been given again meanwhile.
    double most = 3 * 40 * (0.22 + 0.78 * seconds / 17) * Math.max(1, seconds);
    assertThat(given)
        .hasSize(4)
        .allSatisfy((one, count) -> assertThat((double) count).isBetween(10.0, most));
    assertThat(turnedAway).isPositive();
  }

  @Test
  void aFeedLostInTheMidstOfADrainBringsNothingBackAndEndsInARefusalThatSaysWhy() throws Exception {
    Program program =
        program(3, 1, "", ZONE + steer(1).replace("carries", "stale-for=\"PT8S\" carries") + FREE);
    feed.tell(Program.event(1, PORT, "draining", 0));
    await(() -> feed.asked.stream().anyMatch(one -> one.contains("SUB=2")));
    feed.close();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    boolean late = false;
    boolean refused = false;
    while (!refused && System.nanoTime() < end) {
      Message message = program.ask("shed-3.sheds.example", 1000);
      assertThat(Program.addresses(message)).doesNotContain("127.0.1.2");
      refused = message.getRcode() == Rcode.SERVFAIL;
      late |= !refused && !message.getOPT().getOptions(15).isEmpty();
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(late).as("the last list, marked, before").isTrue();
    assertThat(refused).isTrue();
  }

  @Test
  void changedSettingsAreTakenUpWholeOrNotAtAll() throws Exception {
    Program program = program(4, 1, "", ZONE + steer(1) + FREE);
    assertThat(program.ask("about.sheds.example", 1000).getRcode()).isZero();
    String instance = "settings=\"config.json\"";
    program.settings(instance, ZONE + steer(1).replace("shed-3", "shed-4") + FREE);
    program.signal("HUP");
    program.logged("settings reloaded");
    assertThat(Program.addresses(program.ask("shed-4.sheds.example", 1000))).hasSize(1);
    assertThat(program.ask("shed-3.sheds.example", 1000).getRcode()).isEqualTo(Rcode.NXDOMAIN);
    // The zone is sound, the locations are not: neither is taken.
    java.nio.file.Files.writeString(
        program.folder.resolve("sheds.zone"),
        "$TTL 5\n@ IN SOA ns1 h ( 2 1 1 1 1 )\n IN NS ns1\nnew IN A 192.0.2.3\n");
    program.settings(instance, ZONE + steer(1).replace("place=\"shed\"", "place=\"moon\"") + FREE);
    program.signal("HUP");
    program.logged("the previous settings stay in use");
    assertThat(program.log()).contains("moon");
    assertThat(program.ask("new.sheds.example", 1000).getRcode()).isEqualTo(Rcode.NXDOMAIN);
    assertThat(Program.addresses(program.ask("shed-4.sheds.example", 1000))).hasSize(1);
  }

  private static String forward(Upstream... upstreams) {
    StringBuilder text = new StringBuilder("<forward zone=\"north.example.\" within=\"PT2S\">");
    for (Upstream one : upstreams) {
      text.append("<upstream address=\"127.0.0.1:").append(one.port()).append("\"/>");
    }
    return text.append("</forward>\n").toString();
  }

  private Upstream upstream() throws IOException {
    Upstream upstream = new Upstream();
    open.add(upstream);
    return upstream;
  }

  @Test
  void aDeadOrSlowUpstreamCostsOneWaitAndForgedAnswersNone() throws Exception {
    Upstream first = upstream();
    Upstream second = upstream();
    first.ttl = 0;
    second.ttl = 0;
    first.mode = Upstream.Mode.SILENT;
    second.address = "192.0.2.78";
    Program program = program(2, 1, "", ZONE + steer(1) + FREE + forward(first, second));
    for (int i = 0; i < 30; i++) {
      assertThat(Program.addresses(program.ask("a" + i + ".north.example", 2000)))
          .containsExactly("192.0.2.78");
    }
    assertThat(first.asked.get()).as("of 30 questions, while it is dead").isLessThan(15);
    second.mode = Upstream.Mode.FORGE;
    for (int i = 0; i < 10; i++) {
      assertThat(Program.addresses(program.ask("b" + i + ".north.example", 2000)))
          .containsExactly("192.0.2.78");
    }
    second.mode = Upstream.Mode.CUT;
    assertThat(Program.addresses(program.ask("c.north.example", 2000)))
        .containsExactly("192.0.2.78");
    assertThat(second.overTcp.get()).isPositive();
    second.mode = Upstream.Mode.REFUSE;
    first.mode = Upstream.Mode.ANSWER;
    first.delayMillis = 60;
    for (int i = 0; i < 5; i++) {
      assertThat(Program.addresses(program.ask("d" + i + ".north.example", 2500)))
          .containsExactly("192.0.2.77");
    }
  }

  @Test
  void whileAllUpstreamsFailThereIsNoStormAndWhatWasKnownIsGivenOutStale() throws Exception {
    Upstream only = upstream();
    Program program = program(2, 1, "", ZONE + steer(1) + FREE + forward(only));
    assertThat(Program.addresses(program.ask("known.north.example", 2000)))
        .containsExactly("192.0.2.77");
    only.mode = Upstream.Mode.SILENT;
    TimeUnit.MILLISECONDS.sleep(1100);
    int before = only.asked.get();
    long from = System.nanoTime();
    Message stale = program.ask("known.north.example", 2500);
    assertThat(Program.addresses(stale)).containsExactly("192.0.2.77");
    assertThat(stale.getSection(Section.ANSWER).get(0).getTTL()).isEqualTo(30);
    assertThat(System.nanoTime() - from).isLessThan(TimeUnit.MILLISECONDS.toNanos(1800));
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 100; i++) {
        byte[] query = Program.query("u" + i + ".north.example", Type.A, i);
        socket.send(new DatagramPacket(query, query.length, program.address));
      }
      socket.setSoTimeout(5000);
      for (int i = 0; i < 100; i++) {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        assertThat(packet.getData()[3] & 0xF).isEqualTo(Rcode.SERVFAIL);
      }
    }
    assertThat(only.asked.get() - before).as("attempts for 101 questions").isLessThan(130);
  }

  @Test
  void equalQuestionsAreJoinedAndSigtermAnswersWhatIsInHand() throws Exception {
    Upstream slow = upstream();
    slow.delayMillis = 250;
    Program program = program(2, 1, "", ZONE + steer(1) + FREE + forward(slow));
    program.ask("warm.north.example", 2000);
    int before = slow.asked.get();
    slow.delayMillis = 90;
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 50; i++) {
        byte[] query = Program.query("one.north.example", Type.A, i);
        socket.send(new DatagramPacket(query, query.length, program.address));
      }
      TimeUnit.MILLISECONDS.sleep(30);
      program.signal("TERM");
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
    assertThat(slow.asked.get() - before).isLessThanOrEqualTo(2);
    assertThat(program.process.waitFor(5, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void badInputCostsItselfAlone() throws Exception {
    Program program =
        program(
            4,
            1,
            "",
            ZONE
                + steer(1)
                + "<limits answers-per-second=\"0\" connections=\"40\" idle=\"PT1S\"/>\n");
    Random random = new Random(9);
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      Socket socket = new Socket(program.address.getAddress(), program.address.getPort());
      sockets.add(socket);
      OutputStream out = socket.getOutputStream();
      try {
        switch (i % 4) {
          case 0 -> out.write(new byte[] {(byte) 0xFF, (byte) 0xFF, 1, 2, 3});
          case 1 -> out.write(new byte[] {0});
          case 2 -> {
            byte[] bytes = new byte[300];
            random.nextBytes(bytes);
            out.write(bytes);
          }
          default -> {}
        }
      } catch (IOException e) {
        // Closed already, as it should be.
      }
    }
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 20_000; i++) {
        byte[] bytes = new byte[random.nextInt(700)];
        random.nextBytes(bytes);
        socket.send(new DatagramPacket(bytes, bytes.length, program.address));
      }
    }
    // What the flood left in the kernel's queue may cost the first question; a resolver asks again.
    await(() -> Program.addresses(program.ask("shed-3.sheds.example", 300)).size() == 1);
    for (int i = 0; i < 20; i++) {
      Message message = program.ask("p" + i + ".shed-3.sheds.example", 2000);
      assertThat(Program.addresses(message)).as("question %d after the flood", i).hasSize(1);
    }
    // Each of those connections ends: with what it sent, or when its time is over.
    for (Socket socket : sockets) {
      socket.setSoTimeout(6000);
      try {
        while (socket.getInputStream().read() >= 0) {
          continue;
        }
      } catch (java.net.SocketException e) {
        // A reset is an end as well.
      }
      socket.close();
    }
    assertThat(program.log()).doesNotContain("\"defect\"");
  }

  @Test
  void theConnectionOfNoUseForLongestGoesForANewOne() throws Exception {
    Program program =
        program(
            2, 1, "", ZONE + steer(1) + "<limits answers-per-second=\"0\" connections=\"5\"/>\n");
    List<Socket> sockets = new ArrayList<>();
    byte[] query = Program.query("shed-3.sheds.example", Type.A, 1);
    for (int i = 0; i < 8; i++) {
      Socket socket = new Socket(program.address.getAddress(), program.address.getPort());
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(new byte[] {0, (byte) query.length});
      socket.getOutputStream().write(query);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      in.readFully(new byte[in.readUnsignedShort()]);
      sockets.add(socket);
    }
    for (int i = 0; i < 3; i++) {
      assertThat(sockets.get(i).getInputStream().read()).as("connection %d", i).isEqualTo(-1);
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Test
  void queriesOnOneConnectionAreAnsweredAndWhatIsLeftUnreadIsNotKept() throws Exception {
    Program program = program(4, 1, "", ZONE + steer(1) + FREE);
    try (Socket socket = new Socket(program.address.getAddress(), program.address.getPort())) {
      java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
      for (int i = 0; i < 200; i++) {
        byte[] query = Program.query("p" + i % 64 + ".shed-3.sheds.example", Type.A, i);
        all.write(query.length >> 8);
        all.write(query.length);
        all.write(query);
      }
      socket.getOutputStream().write(all.toByteArray());
      socket.setSoTimeout(3000);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      Set<Integer> ids = new HashSet<>();
      for (int i = 0; i < 200; i++) {
        byte[] bytes = new byte[in.readUnsignedShort()];
        in.readFully(bytes);
        ids.add(new Message(bytes).getHeader().getID());
      }
      assertThat(ids).hasSize(200);
    }
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(2048);
      socket.connect(program.address);
      byte[] query = Program.query("shed-3.sheds.example", Type.A, 1);
      byte[] frame = new byte[query.length + 2];
      frame[1] = (byte) query.length;
      System.arraycopy(query, 0, frame, 2, query.length);
      boolean ended = false;
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      socket.setSoTimeout(1);
      while (!ended && System.nanoTime() < end) {
        try {
          for (int i = 0; i < 200; i++) {
            socket.getOutputStream().write(frame);
          }
        } catch (java.net.SocketException e) {
          ended = true;
        }
      }
      assertThat(ended).as("a client that reads nothing is closed").isTrue();
    }
    program.logged("responses-unread");
    assertThat(Program.addresses(program.ask("shed-3.sheds.example", 1000))).hasSize(1);
  }

  @Test
  void probesFindACacheThatIsDeadAndOneThatCameBack() throws Exception {
    ToyServer.Cache alive = new ToyServer.Cache(0);
    open.add(alive);
    ToyServer.Cache dying = new ToyServer.Cache(0);
    int port = dying.port();
    Program program =
        program(
            0,
            1,
            "",
            ZONE
                + steer(1)
                + FREE
                + "<probing every=\"PT0.1S\" within=\"PT0.2S\" most-per-second=\"100\"/>\n");
    // Both are at 127.0.0.1, told apart by their ports.
    feed.tell(
        "{\"n\":N,\"members\":{\"version\":2,\"full\":true,\"servers\":["
            + toy("s-a", alive.port())
            + ","
            + toy("s-b", port)
            + "]}}");
    await(() -> ports(program).equals(Set.of(alive.port(), port)));
    dying.close();
    await(() -> ports(program).equals(Set.of(alive.port())));
    open.add(new ToyServer.Cache(port));
    await(() -> ports(program).equals(Set.of(alive.port(), port)));
  }

  private static String toy(String id, int port) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
        + "\"state\":\"ready\",\"weight\":40,\"started_ms\":0}";
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(Condition condition) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    while (!condition.holds()) {
      assertThat(System.nanoTime()).as("in time").isLessThan(end);
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** The ports in twelve answers. */
  private static Set<Integer> ports(Program program) throws IOException {
    Set<Integer> ports = new HashSet<>();
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 12; i++) {
        Message message =
            program.ask(
                socket, Program.query("_cache._tcp.shed-3.sheds.example", Type.SRV, i), 1000);
        for (Record record : message.getSection(Section.ANSWER)) {
          ports.add(((org.xbill.DNS.SRVRecord) record).getPort());
        }
      }
    }
    return ports;
  }

  @Test
  void aFeedToldByNameIsLookedUpAndFollowed() throws Exception {
    Upstream resolver = upstream();
    resolver.address = "127.0.0.1";
    Program program =
        program(
            1,
            1,
            "feed=\"feed.sheds.test:" + feed.port() + "\"",
            "<resolvers><upstream address=\"127.0.0.1:"
                + resolver.port()
                + "\"/></resolvers>\n"
                + ZONE
                + steer(1)
                + FREE);
    feed.tell(Program.event(0, PORT, "gone", 0));
    feed.tell(Program.event(1, PORT, "ready", 0));
    await(
        () ->
            Program.addresses(program.ask("shed-3.sheds.example", 1000))
                .equals(List.of("127.0.1.2")));
  }
}
