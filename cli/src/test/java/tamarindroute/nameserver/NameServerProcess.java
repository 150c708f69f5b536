package tamarindroute.nameserver;

import java.io.File;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.gateway.FreePort;

/** A name server, started from the jar as a user would, with its files in a folder of the test. */
public final class NameServerProcess implements AutoCloseable {

  private static final int MAX_DATAGRAM_BYTES = 1232;
  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final int QUERY_ID = 7;
  private static final long START_TIMEOUT_SECONDS = 20;
  private static final long LOG_TIMEOUT_SECONDS = 10;
  private static final long POLL_MS = 20;

  /** The address of its UDP and TCP sockets. */
  public final InetSocketAddress address;

  /** The folder of its files. */
  public final Path folder;

  /** The process; null before {@link #start}. */
  public Process process;

  /**
   * Writes the files: a list of caches s-0, s-1, ... at 127.0.1.1, 127.0.1.2, ..., and settings.
   *
   * @param feedPort port of the control feed
   * @param edges number of caches
   * @param port port of all caches
   * @param instances number of name servers that share the caches
   * @param instanceAttributes further attributes of the element instance
   * @param dnsElements content of the element dns, after an optional element resolvers
   */
  public NameServerProcess(
      Path folder,
      int feedPort,
      int edges,
      int port,
      int instances,
      String instanceAttributes,
      String dnsElements)
      throws IOException {
    this.folder = Files.createDirectories(folder);
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePort.find());
    Files.writeString(folder.resolve("config.json"), configuration(feedPort, edges, port));
    Files.copy(Path.of("deploy/sheds.zone"), folder.resolve("sheds.zone"));
    writeSettings(
        "settings=\"config.json\" instances=\"" + instances + "\" " + instanceAttributes,
        dnsElements);
  }

  private static String configuration(int feedPort, int edges, int port) throws IOException {
    String example =
        Files.readString(Path.of("example/config.json"))
            .replace("127.0.0.1:7001", "127.0.0.1:" + feedPort);
    String endpoints =
        IntStream.range(0, edges)
            .mapToObj(index -> endpointJson(index, port, "ready", 0))
            .collect(Collectors.joining(","));
    String listStart = "\"servers\": [";
    int from = example.indexOf(listStart) + listStart.length();
    return example.substring(0, from) + endpoints + example.substring(example.indexOf("]}}", from));
  }

  /** A cache as the control feed describes it. */
  public static String endpointJson(int index, int port, String state, long startedMillis) {
    return ("{\"id\":\"s-%d\",\"addr\":\"127.0.1.%d:%d\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
            + "\"state\":\"%s\",\"weight\":40,\"started_ms\":%d}")
        .formatted(index, index + 1, port, state, startedMillis);
  }

  /** A feed event that changes one cache. */
  public static String endpointEvent(int index, int port, String state, long startedMillis) {
    return membersEvent(false, endpointJson(index, port, state, startedMillis));
  }

  /** A feed event that replaces the list of caches. */
  public static String listEvent(String endpoints) {
    return membersEvent(true, endpoints);
  }

  private static String membersEvent(boolean full, String endpoints) {
    return "{\"n\":N,\"members\":{\"version\":2,\"full\":"
        + full
        + ",\"servers\":["
        + endpoints
        + "]}}";
  }

  /** Replaces the settings file. */
  public void writeSettings(String instanceAttributes, String dnsElements) throws IOException {
    int dnsStart = Math.max(0, dnsElements.indexOf("<zone"));
    String resolvers = dnsElements.contains("<resolvers") ? dnsElements.substring(0, dnsStart) : "";
    Files.writeString(
        folder.resolve("dns.xml"),
        "<tamarindroute xmlns=\"urn:tamarindroute:settings:1\">\n<instance "
            + instanceAttributes
            + "/>\n"
            + resolvers
            + "<dns listen=\"127.0.0.1:"
            + address.getPort()
            + "\">\n"
            + dnsElements.substring(dnsStart)
            + "</dns></tamarindroute>\n");
  }

  /** Starts the process and waits until it answers. */
  public void start() throws IOException, InterruptedException {
    File logFile = logFile().toFile();
    process =
        new ProcessBuilder(
                "java",
                "-Xmx256m",
                "-jar",
                "target/tamarindroute.jar",
                "dns",
                "--log",
                "json",
                folder.resolve("dns.xml").toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
            .start();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    while (!log().contains("\"answering\"")) {
      if (System.nanoTime() > deadline || !process.isAlive()) {
        throw new IOException("the name server did not start: " + log());
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  private Path logFile() {
    return folder.resolve("log");
  }

  /** All that the process has logged. */
  public String log() throws IOException {
    return Files.exists(logFile()) ? Files.readString(logFile()) : "";
  }

  /** Waits until the log contains a text. */
  public void awaitLog(String text) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOG_TIMEOUT_SECONDS);
    while (!log().contains(text)) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("no \"" + text + "\" in " + log());
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  /** Sends a signal, named as by kill. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }

  /** Encodes a query with EDNS. */
  public static byte[] encodeQuery(String name, int type, int id) throws IOException {
    Message message = new Message(id);
    message.addRecord(
        Record.newRecord(Name.fromString(name + "."), type, DClass.IN), Section.QUESTION);
    message.addRecord(new OPTRecord(MAX_DATAGRAM_BYTES, 0, 0), Section.ADDITIONAL);
    return message.toWire();
  }

  /** Queries A records by UDP; null without a response in time. */
  public Message query(String name, int timeoutMillis) throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return query(socket, encodeQuery(name, Type.A, QUERY_ID), timeoutMillis);
    }
  }

  /** Sends a query on a socket; null without a response in time. */
  public Message query(DatagramSocket socket, byte[] query, int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    socket.send(new DatagramPacket(query, query.length, address));
    DatagramPacket packet =
        new DatagramPacket(new byte[RECEIVE_BUFFER_BYTES], RECEIVE_BUFFER_BYTES);
    try {
      socket.receive(packet);
      return new Message(Arrays.copyOf(packet.getData(), packet.getLength()));
    } catch (SocketTimeoutException e) {
      return null;
    }
  }

  /** Queries A records by UDP; the addresses in the response, none without one in time. */
  public List<String> queryAddresses(String name, int timeoutMillis) throws IOException {
    return addresses(query(name, timeoutMillis));
  }

  /** The addresses in a response; none if it is null. */
  public static List<String> addresses(Message message) {
    List<String> addresses = new ArrayList<>();
    for (int section : new int[] {Section.ANSWER, Section.ADDITIONAL}) {
      for (Record record : message == null ? List.<Record>of() : message.getSection(section)) {
        if (record instanceof ARecord a) {
          addresses.add(a.getAddress().getHostAddress());
        }
      }
    }
    return addresses;
  }
}
