package tamarindroute.example;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulated caches, a control feed and a client to try a gateway with, on blocking sockets and the
 * JDK alone. {@code java ToyServer.java} runs it without compilation. The integration tests use the
 * same classes and make the caches fail by {@link CacheBehavior}.
 */
public final class ToyServer {

  private static final int ID_DIGITS = 16;

  /** What a cache does with an attempt. */
  public enum CacheBehavior {
    SERVE("serve"),
    MISS("miss"),
    OVER_CAPACITY("full"),
    ERROR("error"),
    /** Reads attempts and does not respond. */
    SILENT("silent"),
    /** Resets the connection. */
    RESET("reset"),
    /** Closes the connection in the middle of a response. */
    TRUNCATE("half"),
    /** Stops in the middle of one response, and serves on other connections from then on. */
    STALL_MIDWAY_ONCE("stop"),
    /** Sends bytes that are no response. */
    GARBAGE("garbage"),
    /** Responds after a while. */
    DELAY("late"),
    /** Tells that a copy is current that nobody named. */
    NOT_MODIFIED("unchanged");

    private final String word;

    CacheBehavior(String word) {
      this.word = word;
    }

    /** Finds a behavior by its word in schedules, in any case. */
    public static CacheBehavior ofWord(String word) {
      for (CacheBehavior behavior : values()) {
        if (behavior.word.equalsIgnoreCase(word)) {
          return behavior;
        }
      }
      throw new IllegalArgumentException("no behavior of a cache \"" + word + "\"");
    }
  }

  private ToyServer() {}

  /** Arguments: FEED_PORT CACHE_PORT..., or: call HOST:PORT CLASS OBJECT. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    if (arguments.length == 4 && arguments[0].equals("call")) {
      call(arguments[1], arguments[2], arguments[3]);
    } else if (arguments.length >= 2) {
      serve(arguments[0], Arrays.asList(arguments).subList(1, arguments.length));
    } else {
      System.err.println(
          "usage: java ToyServer.java FEED_PORT CACHE_PORT... | call HOST:PORT CLASS OBJECT");
      System.exit(2);
    }
  }

  /** Sends one request and prints the response. */
  private static void call(String gateway, String requestClass, String object) throws IOException {
    int separator = gateway.lastIndexOf(':');
    InetSocketAddress address =
        new InetSocketAddress(
            gateway.substring(0, separator), Integer.parseInt(gateway.substring(separator + 1)));
    try (Client client = new Client(address)) {
      String fields =
          "rid="
              + paddedHex(Long.toHexString(System.nanoTime()))
              + ",budget=2000,obj="
              + paddedHex(object)
              + ",piece=0,lot=1,mem=100,token="
              + paddedHex("").repeat(2);
      client.call("1", requestClass, fields, "");
      List<byte[]> response = client.readResponse();
      int bodyBytes = response.get(3).length;
      System.out.println(
          text(response.get(1)) + " " + text(response.get(2)) + " " + bodyBytes + " bytes");
    }
  }

  /** Runs a control feed and caches, and prints the commands that the caches receive. */
  private static void serve(String feedPort, List<String> cachePorts) throws IOException {
    new Feed(Integer.parseInt(feedPort));
    for (String port : cachePorts) {
      Cache cache = new Cache(Integer.parseInt(port));
      System.out.println("a toy cache listens on port " + cache.port());
      new Thread(() -> printCommands(port, cache)).start();
    }
  }

  private static void printCommands(String port, Cache cache) {
    try {
      while (true) {
        System.out.println("port " + port + ": " + cache.receivedCommands.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Pads an id of hexadecimal digits with zeros on the left. */
  public static String paddedHex(String digits) {
    return "0".repeat(ID_DIGITS - digits.length()) + digits;
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Encodes a frame: an array of bulk strings. */
  public static byte[] frame(Object... items) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(("*" + items.length + "\r\n").getBytes(StandardCharsets.UTF_8));
    for (Object item : items) {
      byte[] bytes =
          item instanceof byte[] raw ? raw : item.toString().getBytes(StandardCharsets.UTF_8);
      out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.UTF_8));
      out.writeBytes(bytes);
      out.writeBytes("\r\n".getBytes(StandardCharsets.UTF_8));
    }
    return out.toByteArray();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended");
      }
      line.append((char) b);
    }
    return line.toString().strip();
  }

  /**
   * Reads a frame.
   *
   * @throws EOFException if the connection ends before the frame is complete
   */
  public static List<byte[]> readFrame(InputStream in) throws IOException {
    List<byte[]> items = new ArrayList<>();
    int count = Integer.parseInt(readLine(in).substring(1));
    for (int i = 0; i < count; i++) {
      int length = Integer.parseInt(readLine(in).substring(1));
      byte[] item = in.readNBytes(length);
      if (item.length < length) {
        throw new EOFException("the connection ended inside an item");
      }
      readLine(in);
      items.add(item);
    }
    return items;
  }

  /** The content that every cache and origin has for an object. */
  public static byte[] contentOf(String object, int length) {
    byte[] bytes = new byte[length];
    new Random(object.hashCode()).nextBytes(bytes);
    return bytes;
  }

  /** A listener that serves each connection on a thread of its own. */
  abstract static class Listener implements AutoCloseable {

    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Listener(int port) throws IOException {
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      start(
          () -> {
            while (true) {
              Socket socket = server.accept();
              sockets.add(socket);
              start(() -> serve(socket));
            }
          });
    }

    private interface Work {
      void run() throws IOException, InterruptedException;
    }

    private static void start(Work work) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  work.run();
                } catch (IOException | InterruptedException e) {
                  // The connection or the listener has ended, and the thread with it.
                }
              });
      thread.setDaemon(false);
      thread.start();
    }

    /** Serves one connection until it ends. */
    abstract void serve(Socket socket) throws IOException, InterruptedException;

    /** The port that it listens on. */
    public int port() {
      return server.getLocalPort();
    }

    /** Closes the listener and resets all connections. */
    @Override
    public void close() throws IOException {
      server.close();
      for (Socket socket : sockets) {
        reset(socket);
      }
    }

    static void reset(Socket socket) throws IOException {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
  }

  /**
   * A cache, a parent or an origin: it stores what it has filled once, and fills where an attempt
   * names a source.
   */
  public static final class Cache extends Listener {

    private static final long DELAY_MS = 300;

    /** The received commands, with their items separated by spaces. */
    public final BlockingQueue<String> receivedCommands = new LinkedBlockingQueue<>();

    /** What it does with attempts from now on. */
    public volatile CacheBehavior behavior = CacheBehavior.SERVE;

    /** Length of the contents in bytes. */
    public volatile int bodySize = 2000;

    private final AtomicInteger connections = new AtomicInteger();
    private volatile int silencedConnections;
    private final Set<String> filledObjects = ConcurrentHashMap.newKeySet();

    /** Starts a cache; port 0 means any free port. */
    public Cache(int port) throws IOException {
      super(port);
    }

    /**
     * Never responds on the connections that are open now, as if the machine had disappeared and
     * another had taken its address.
     */
    public void silenceOpenConnections() {
      silencedConnections = connections.get();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      int number = connections.incrementAndGet();
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<byte[]> command = readFrame(in);
        List<String> words = command.stream().map(ToyServer::text).toList();
        receivedCommands.add(String.join(" ", words).strip());
        if (number <= silencedConnections) {
          continue;
        }
        if (words.get(0).equals("NOOP") || words.get(0).equals("INFO")) {
          out.write(frame(words.get(1), "READY", "-", ""));
        } else if (words.get(0).equals("ASK")) {
          respond(socket, out, words.get(1), words.get(2));
        }
      }
    }

    private static String field(String fields, String name) {
      for (String field : fields.split(",", -1)) {
        if (field.startsWith(name + "=")) {
          return field.substring(name.length() + 1);
        }
      }
      return null;
    }

    private void respond(Socket socket, OutputStream out, String id, String fields)
        throws IOException, InterruptedException {
      String object = field(fields, "name");
      byte[] body = contentOf(object, bodySize);
      String digest = "d" + object.substring(1);
      String hitFields =
          "why=hit,rep=util:0.2,dated=" + System.currentTimeMillis() + ",digest=" + digest;
      byte[] hit = frame(id, "ACK", hitFields, body);
      switch (behavior) {
        case MISS -> out.write(frame(id, "NOENT", "-", ""));
        case OVER_CAPACITY -> out.write(frame(id, "AGAIN", "-", ""));
        case ERROR -> out.write(frame(id, "EIO", "-", ""));
        case GARBAGE -> out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        case SILENT -> {}
        case RESET -> reset(socket);
        case TRUNCATE -> {
          writeHalfTheBody(out, hit);
          socket.close();
        }
        case STALL_MIDWAY_ONCE -> {
          behavior = CacheBehavior.SERVE;
          writeHalfTheBody(out, hit);
          // The connection stays open and unusable, as where a response stopped short.
          socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
        case NOT_MODIFIED -> out.write(frame(id, "NOMOD", "why=hit,digest=" + paddedHex("0"), ""));
        case DELAY -> {
          Thread.sleep(DELAY_MS);
          out.write(hit);
        }
        case SERVE -> out.write(serve(id, fields, digest, body, hit));
      }
      out.flush();
    }

    private void writeHalfTheBody(OutputStream out, byte[] response) throws IOException {
      out.write(response, 0, response.length - bodySize / 2);
      out.flush();
    }

    private byte[] serve(String id, String fields, String digest, byte[] body, byte[] hit) {
      String object = field(fields, "name");
      boolean newlyFilled = filledObjects.add(object);
      boolean mayFill = field(fields, "parent") != null || field(fields, "shelf") == null;
      if (newlyFilled && !mayFill) {
        filledObjects.remove(object);
        return frame(id, "NOENT", "-", "");
      }
      if (digest.equals(field(fields, "got"))) {
        return frame(id, "NOMOD", "why=hit,digest=" + digest, "");
      }
      return newlyFilled ? frame(id, "ACK", "why=filled,first=3,digest=" + digest, body) : hit;
    }
  }

  /** The control feed: responds at once with new events, or when the time to wait is over. */
  public static final class Feed extends Listener {

    /** The received request lines. */
    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    /** The body that replaces the events; null for the events. */
    public volatile String replacementBody;

    /** The number of the first event after those of the configuration. */
    private static final int FIRST_NUMBER = 2;

    private final List<String> events = new ArrayList<>();

    /** Starts a feed; port 0 means any free port. */
    public Feed(int port) throws IOException {
      super(port);
    }

    /** Adds an event, with its number in place of N. */
    public synchronized void publish(String event) {
      events.add(event.replace("N", String.valueOf(FIRST_NUMBER + events.size())));
      notifyAll();
    }

    private synchronized String awaitEventsAfter(int lastKnown, long waitMillis)
        throws InterruptedException {
      long end = System.currentTimeMillis() + waitMillis;
      while (FIRST_NUMBER + events.size() <= lastKnown + 1 && System.currentTimeMillis() < end) {
        wait(Math.max(1, end - System.currentTimeMillis()));
      }
      int skip = Math.max(0, lastKnown + 1 - FIRST_NUMBER);
      return "{\"n\":"
          + (FIRST_NUMBER + events.size() - 1)
          + ",\"events\":["
          + String.join(",", events.subList(Math.min(skip, events.size()), events.size()))
          + "]}";
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String requestLine = readLine(in);
        skipHeaders(in);
        requests.add(requestLine);
        socket.getOutputStream().write(httpResponse(body(requestLine)));
      }
    }

    private static void skipHeaders(InputStream in) throws IOException {
      String line = readLine(in);
      while (!line.isEmpty()) {
        line = readLine(in);
      }
    }

    private String body(String requestLine) throws InterruptedException {
      String[] numbers = requestLine.replaceAll("[^0-9]+", " ").strip().split(" ", -1);
      return replacementBody != null
          ? replacementBody
          : awaitEventsAfter(Integer.parseInt(numbers[1]), Long.parseLong(numbers[2]));
    }

    private static byte[] httpResponse(String body) {
      String head =
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n";
      return (head + body).getBytes(StandardCharsets.UTF_8);
    }
  }

  /** A client of a gateway. */
  public static final class Client implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int READ_TIMEOUT_MS = 10_000;

    /** Its connection. */
    public final Socket socket = new Socket();

    private final InputStream in;

    /** Connects to a gateway. */
    public Client(InetSocketAddress gateway) throws IOException {
      socket.connect(gateway, CONNECT_TIMEOUT_MS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a frame. */
    public void send(Object... items) throws IOException {
      socket.getOutputStream().write(frame(items));
    }

    /** Sends a request. */
    public void call(String tag, String requestClass, String fields, Object body)
        throws IOException {
      send("RPC.CALL", tag, requestClass, fields, body);
    }

    /** Reads the next response: tag, status, fields, body. */
    public List<byte[]> readResponse() throws IOException {
      return readFrame(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
