import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The name server is restarted while a cache is cold and resolvers still keep its answers. */
final class Case8 {

  /** Transfers that one answer brings, and how long each resolver keeps it, as its settings say. */
  private static final double CARRIES = 2;

  private static final double KEPT_MILLIS = 30_000;

  /** Of the site: the share of its capacity that a cold cache begins with, when it is warm, when it falls. */
  private static final double COLD_FROM = 0.22;

  private static final double COLD_MILLIS = 17_000;
  private static final double FALL_MULTIPLE = 3;
  private static final double FALL_MILLIS = 2000;
  private static final double WEIGHT = 40;

  /** Mean sending time of the class bin-clip, the longest of the pages' range, which leaves the most slack. */
  private static final double SENDING_MILLIS = 600;

  private static final int PARTS = 64;
  private static final double RESTART_AGE_MILLIS = 8000;
  private static final double END_AGE_MILLIS = 16_000;

  private final World world;
  private final World.Feed feed;
  private final int port;
  private final Path xml;
  private Process process;
  private int queryId;

  /** When the cold cache was named in an answer. */
  private final List<Double> namedAt = new ArrayList<>();

  private Case8(World world) throws IOException {
    this.world = world;
    this.feed = world.new Feed();
    this.port = world.freePort();
    this.xml = world.scratch.resolve("dns.xml");
  }

  public static void main(String[] arguments) {
    World.runCase(arguments[0], 8, (world, trouble) -> new Case8(world).run(trouble));
  }

  private boolean run(boolean trouble) throws Exception {
    List<World.Cache> caches = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      caches.add(world.new Cache("s-0000000" + i, "edge-1", "standard", i, WEIGHT));
    }
    World.Cache cold = caches.get(2);
    caches.add(world.new Cache("p-00000000", "north", "parent", 10, 40));
    caches.add(world.new Cache("o-00000000", "north", "origin", 20, 100));
    feed.members(true, caches.stream().map(World.Cache::entry).toList());
    writeSettings();
    startServer();
    World.sleep(1000);
    cold.startedMillis = System.currentTimeMillis();
    double coldSince = world.now();
    feed.members(false, List.of(cold.entry()));
    World.sleep(300);
    boolean restarted = !trouble;
    while (world.now() < coldSince + END_AGE_MILLIS) {
      if (!restarted && world.now() > coldSince + RESTART_AGE_MILLIS) {
        restarted = true;
        world.note("SIGTERM to the name server");
        process.destroy();
        process.waitFor();
        startServer();
      }
      askAll(cold.id);
      World.sleep(100);
    }
    return !isPushedOver(coldSince);
  }

  /** The settings of deploy/dns.xml, with this case's addresses and resolvers that keep answers for 30 s. */
  private void writeSettings() throws IOException {
    Files.copy(world.root.resolve("deploy/sheds.zone"), world.scratch.resolve("sheds.zone"));
    String settings =
        Files.readString(world.root.resolve("deploy/dns.xml"))
            .replace("../example/config.json", "platform.json")
            .replace("127.0.0.1:5300", "127.0.0.1:" + port)
            .replace("kept-at-least=\"PT0S\"", "kept-at-least=\"PT30S\"")
            .replace("answers-per-second=\"100\"", "answers-per-second=\"100000\"")
            .replace("carries=\"8\"", "carries=\"2\"")
            .replace("place=\"shed\"", "place=\"edge-1\"")
            .replace("name=\"clip\"", "name=\"bin-clip\"")
            .replace("name=\"pick\"", "name=\"pick-confirm\"");
    Files.writeString(xml, settings);
  }

  private void startServer() throws IOException {
    String platform =
        world.configuration("d1", world.freePort(), feed.port(), feed.known(), Sites.pickGuide(1), 192);
    Files.writeString(world.scratch.resolve("platform.json"), platform);
    ProcessBuilder builder =
        new ProcessBuilder("java", "-jar", "target/tamarindroute.jar", "dns", xml.toString());
    Path log = world.scratch.resolve("dns.log");
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    world.processes.add(process);
    world.note("name server started");
    double until = world.now() + 15_000;
    while (ask(0) == null) {
      if (world.now() > until || !process.isAlive()) {
        throw new IOException("the name server does not answer: " + Files.readString(log));
      }
    }
    world.note("name server answers");
  }

  /** One question of another resolver for the home of each part. */
  private void askAll(String coldId) throws IOException {
    int named = 0;
    for (int part = 0; part < PARTS; part++) {
      String answer = ask(part);
      if (answer != null && answer.contains(coldId)) {
        namedAt.add(world.now());
        named++;
      }
    }
    if (named > 0) {
      world.note("the cold cache was named to " + named + " resolvers");
    }
  }

  private String ask(int part) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    for (int header : new int[] {++queryId & 0xffff, 0x0100, 1, 0, 0, 0}) {
      out.writeShort(header);
    }
    for (String label : ("_cache._tcp.p" + part + ".shed-3.sheds.example").split("\\.")) {
      out.writeByte(label.length());
      out.writeBytes(label);
    }
    out.writeByte(0);
    out.writeShort(33);
    out.writeShort(1);
    byte[] query = bytes.toByteArray();
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.setSoTimeout(300);
      socket.send(new DatagramPacket(query, query.length, InetAddress.getLoopbackAddress(), port));
      DatagramPacket answer = new DatagramPacket(new byte[1500], 1500);
      socket.receive(answer);
      return new String(answer.getData(), 0, answer.getLength(), StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException | java.net.PortUnreachableException e) {
      return null;
    }
  }

  /**
   * Whether, in some window of the rule's length, the answers that resolvers kept then brought more requests of mean
   * work than the rule allows, with its slack for chance.
   */
  private boolean isPushedOver(double coldSince) {
    boolean broken = false;
    double step = 20;
    double worst = 0;
    for (double from = coldSince; from + FALL_MILLIS <= coldSince + END_AGE_MILLIS; from += 100) {
      double brought = 0;
      double allowed = 0;
      for (double at = from; at < from + FALL_MILLIS; at += step) {
        double moment = at;
        long kept = namedAt.stream().filter(t -> t <= moment && moment < t + KEPT_MILLIS).count();
        double warmth = Math.min(1, COLD_FROM + (1 - COLD_FROM) * (at - coldSince) / COLD_MILLIS);
        brought += CARRIES * kept * step / SENDING_MILLIS;
        allowed += FALL_MULTIPLE * warmth * WEIGHT * step / SENDING_MILLIS;
      }
      double bound = allowed + 2 * Math.sqrt(allowed) + 2;
      worst = Math.max(worst, brought / bound);
      if (brought > bound) {
        broken = true;
        world.note(
            String.format(
                "BROKEN: in the 2 s from age %.1f s on %.0f requests, allowed %.0f and with slack %.0f",
                (from - coldSince) / 1000, brought, allowed, bound));
      }
    }
    world.verdict(
        String.format("%d answers named the cold cache; at most %.2f of what the rule allows", namedAt.size(), worst));
    return broken;
  }
}
