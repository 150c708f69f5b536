package tamarindroute.nameserver;

import java.io.File;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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

/**
 * A name server, started as a user would from the jar, with its files in a folder of the test's.
 */
public final class NameServerProcess implements AutoCloseable {

  public final InetSocketAddress address;
  public final Path folder;
  public Process process;

  /**
   * A list of edges s-0, s-1 … at 127.0.1.1, 127.0.1.2 … of one port, and what stands in the dns
   * element.
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
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
    }
    String json =
        Files.readString(Path.of("example/config.json"))
            .replace("127.0.0.1:7001", "127.0.0.1:" + feedPort);
    String list =
        IntStream.range(0, edges)
            .mapToObj(index -> endpointJson(index, port, "ready", 0))
            .collect(Collectors.joining(","));
    int from = json.indexOf("\"servers\": [") + "\"servers\": [".length();
    json = json.substring(0, from) + list + json.substring(json.indexOf("]}}", from));
    Files.writeString(folder.resolve("config.json"), json);
    Files.copy(Path.of("deploy/sheds.zone"), folder.resolve("sheds.zone"));
    writeSettings(
        "settings=\"config.json\" instances=\"" + instances + "\" " + instanceAttributes,
        dnsElements);
  }

  public static String endpointJson(int index, int port, String state, long startedMillis) {
    return ("{\"id\":\"s-%d\",\"addr\":\"127.0.1.%d:%d\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,"
            + "\"state\":\"%s\",\"weight\":40,\"started_ms\":%d}")
        .formatted(index, index + 1, port, state, startedMillis);
  }

  public static String endpointEvent(int index, int port, String state, long startedMillis) {
    return "{\"n\":N,\"members\":{\"version\":2,\"full\":false,\"servers\":["
        + endpointJson(index, port, state, startedMillis)
        + "]}}";
  }

  /** Writes the settings file anew. */
  public void writeSettings(String instanceAttributes, String dnsElements) throws IOException {
    Files.writeString(
        folder.resolve("dns.xml"),
        "<tamarindroute xmlns=\"urn:tamarindroute:settings:1\">\n<instance "
            + instanceAttributes
            + "/>\n"
            + (dnsElements.contains("<resolvers")
                ? dnsElements.substring(0, dnsElements.indexOf("<zone"))
                : "")
            + "<dns listen=\"127.0.0.1:"
            + address.getPort()
            + "\">\n"
            + dnsElements.substring(Math.max(0, dnsElements.indexOf("<zone")))
            + "</dns></tamarindroute>\n");
  }

  public void start() throws Exception {
    ProcessBuilder builder =
        new ProcessBuilder(
            "java",
            "-Xmx256m",
            "-jar",
            "target/tamarindroute.jar",
            "dns",
            "--log",
            "json",
            folder.resolve("dns.xml").toString());
    File log = folder.resolve("log").toFile();
    process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!log().contains("\"answering\"")) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IOException("the name server did not start: " + log());
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  public String log() throws IOException {
    return Files.exists(folder.resolve("log")) ? Files.readString(folder.resolve("log")) : "";
  }

  /** Waits until the log holds this. */
  public void awaitLog(String part) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!log().contains(part)) {
      if (System.nanoTime() > end) {
        throw new AssertionError("no \"" + part + "\" in " + log());
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  public void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    process.destroyForcibly().waitFor();
  }

  public static byte[] encodeQuery(String name, int type, int id) throws IOException {
    Message message = new Message(id);
    message.addRecord(
        Record.newRecord(Name.fromString(name + "."), type, DClass.IN), Section.QUESTION);
    message.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
    return message.toWire();
  }

  /** One question by UDP; null where no answer came in time. */
  public Message query(String name, int timeoutMillis) throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return query(socket, encodeQuery(name, Type.A, 7), timeoutMillis);
    }
  }

  public Message query(DatagramSocket socket, byte[] query, int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    socket.send(new DatagramPacket(query, query.length, address));
    DatagramPacket packet = new DatagramPacket(new byte[4096], 4096);
    try {
      socket.receive(packet);
      return new Message(Arrays.copyOf(packet.getData(), packet.getLength()));
    } catch (SocketTimeoutException e) {
      return null;
    }
  }

  /** The addresses in an answer. */
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
