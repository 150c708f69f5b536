package tamarindroute.example;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Toy caches, a toy control feed and a toy client to try a gateway with, on blocking sockets and
 * the JDK alone. The integration tests use the same, and make its caches fail in the ways named by
 * Mode.
 */
public final class ToyServer {

  /** What a toy cache does with a request. */
  public enum CacheBehavior {
    SERVE,
    MISS,
    OVER_CAPACITY,
    ERROR,
    SILENT,
    RESET,
    TRUNCATE,
    STALL_MIDWAY_ONCE,
    GARBAGE,
    DELAY,
    NOT_MODIFIED
  }

  private ToyServer() {}

  /** FEED_PORT CACHE_PORT..., or: call HOST:PORT PROFILE OBJECT. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    if (arguments.length == 4 && arguments[0].equals("call")) {
      String[] hostAndPort = arguments[1].split(":");
      try (Client client =
          new Client(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])))) {
        client.call(
            "1",
            arguments[2],
            "rid="
                + paddedHex(Long.toHexString(System.nanoTime()))
                + ",budget=2000,obj="
                + paddedHex(arguments[3])
                + ",piece=0,lot=1,mem=100,token="
                + paddedHex("").repeat(2),
            "");
        List<byte[]> answer = client.readResponse();
        System.out.println(
            text(answer.get(1))
                + " "
                + text(answer.get(2))
                + " "
                + answer.get(3).length
                + " bytes");
      }
      return;
    }
    if (arguments.length < 2) {
      System.err.println(
          "usage: java ToyServer.java FEED_PORT CACHE_PORT... | call HOST:PORT PROFILE OBJECT");
      System.exit(2);
    }
    new Feed(Integer.parseInt(arguments[0]));
    for (String port : Arrays.asList(arguments).subList(1, arguments.length)) {
      Cache cache = new Cache(Integer.parseInt(port));
      System.out.println("a toy cache listens on port " + cache.port());
      Thread printer =
          new Thread(
              () -> {
                while (true) {
                  try {
                    System.out.println("port " + port + ": " + cache.receivedCommands.take());
                  } catch (InterruptedException e) {
                    return;
                  }
                }
              });
      printer.start();
    }
  }

  /** 16 hexadecimal digits, of which those given are the last. */
  public static String paddedHex(String digits) {
    return "0".repeat(16 - digits.length()) + digits;
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** An array of bulk strings. */
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

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended");
      }
      line.append((char) b);
    }
    return line.toString().strip();
  }

  /** Reads a frame; an EOFException says that the connection ended before it was whole. */
  static List<byte[]> readFrame(InputStream in) throws IOException {
    List<byte[]> items = new ArrayList<>();
    int count = Integer.parseInt(line(in).substring(1));
    for (int i = 0; i < count; i++) {
      int length = Integer.parseInt(line(in).substring(1));
      byte[] item = in.readNBytes(length);
      if (item.length < length) {
        throw new EOFException("the connection ended inside an item");
      }
      line(in);
      items.add(item);
    }
    return items;
  }

  /** The bytes that every toy cache and origin gives out for an object. */
  public static byte[] contentOf(String object, int length) {
    byte[] bytes = new byte[length];
    new Random(object.hashCode()).nextBytes(bytes);
    return bytes;
  }

  /** Listens, and gives each connection a thread of its own. */
  private abstract static class Listener implements AutoCloseable {

    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Listener(int port) throws IOException {
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress("127.0.0.1", port));
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
                  // The connection, or the listener, is over: so is this thread.
                }
              });
      thread.setDaemon(false);
      thread.start();
    }

    abstract void serve(Socket socket) throws IOException, InterruptedException;

    public int port() {
      return server.getLocalPort();
    }

    /** Resets all connections and listens no more. */
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

  /** A cache, a parent or an origin: holds what it once filled, fills where it is told a source. */
  public static final class Cache extends Listener {

    /** Every command that came, with its words. */
    public final BlockingQueue<String> receivedCommands = new LinkedBlockingQueue<>();

    public volatile CacheBehavior behavior = CacheBehavior.SERVE;
    public volatile int bodySize = 2000;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile int silencedConnections;
    private final Map<String, Boolean> filledObjects = new ConcurrentHashMap<>();

    public Cache(int port) throws IOException {
      super(port);
    }

    /**
     * As after its machine vanished and another took the address: open connections are silent for
     * good.
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
      for (String field : fields.split(",")) {
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
      byte[] whole =
          frame(
              id,
              "ACK",
              "why=hit,rep=util:0.2,dated=" + System.currentTimeMillis() + ",digest=" + digest,
              body);
      switch (behavior) {
        case MISS -> out.write(frame(id, "NOENT", "-", ""));
        case OVER_CAPACITY -> out.write(frame(id, "AGAIN", "-", ""));
        case ERROR -> out.write(frame(id, "EIO", "-", ""));
        case GARBAGE -> out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        case SILENT -> {}
        case RESET -> reset(socket);
        case TRUNCATE -> {
          out.write(whole, 0, whole.length - bodySize / 2);
          out.flush();
          socket.close();
        }
        case STALL_MIDWAY_ONCE -> {
          behavior = CacheBehavior.SERVE;
          out.write(whole, 0, whole.length - bodySize / 2);
          out.flush();
          // The connection stays open and of no use, as where an answer stopped short.
          while (socket.getInputStream().read() >= 0) {
            continue;
          }
        }
        case NOT_MODIFIED -> out.write(frame(id, "NOMOD", "why=hit,digest=" + paddedHex("0"), ""));
        case DELAY -> {
          Thread.sleep(300);
          out.write(whole);
        }
        default -> {
          boolean filled = filledObjects.putIfAbsent(object, true) == null;
          if (filled && field(fields, "parent") == null && field(fields, "shelf") != null) {
            filledObjects.remove(object);
            out.write(frame(id, "NOENT", "-", ""));
          } else if (digest.equals(field(fields, "got"))) {
            out.write(frame(id, "NOMOD", "why=hit,digest=" + digest, ""));
          } else {
            out.write(
                filled ? frame(id, "ACK", "why=filled,first=3,digest=" + digest, body) : whole);
          }
        }
      }
      out.flush();
    }
  }

  /** The control feed: tells later events at once, and otherwise when the time to wait is over. */
  public static final class Feed extends Listener {

    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    /** What is answered in place of events; null for the events. */
    public volatile String replacementBody;

    private final List<String> events = new ArrayList<>();
    private int firstNumber = 2;

    public Feed(int port) throws IOException {
      super(port);
    }

    /** Adds an event, its number in place of N; the configuration's own was the first. */
    public synchronized void publish(String event) {
      events.add(event.replace("N", String.valueOf(firstNumber + events.size())));
      notifyAll();
    }

    private synchronized String awaitEventsAfter(int lastKnown, long waitMillis)
        throws InterruptedException {
      long end = System.currentTimeMillis() + waitMillis;
      while (firstNumber + events.size() <= lastKnown + 1 && System.currentTimeMillis() < end) {
        wait(Math.max(1, end - System.currentTimeMillis()));
      }
      int skip = Math.max(0, lastKnown + 1 - firstNumber);
      return "{\"n\":"
          + (firstNumber + events.size() - 1)
          + ",\"events\":["
          + String.join(",", events.subList(Math.min(skip, events.size()), events.size()))
          + "]}";
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String request = line(in);
        while (!line(in).isEmpty()) {
          continue;
        }
        requests.add(request);
        String[] numbers = request.replaceAll("[^0-9]+", " ").strip().split(" ");
        String body =
            replacementBody != null
                ? replacementBody
                : awaitEventsAfter(Integer.parseInt(numbers[1]), Long.parseLong(numbers[2]));
        socket
            .getOutputStream()
            .write(
                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                    .getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  /** A client of a gateway. */
  public static final class Client implements AutoCloseable {

    public final Socket socket = new Socket();
    private final InputStream in;

    public Client(InetSocketAddress gateway) throws IOException {
      socket.connect(gateway, 2000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    public void send(Object... items) throws IOException {
      socket.getOutputStream().write(frame(items));
    }

    public void call(String tag, String requestClass, String fields, Object body)
        throws IOException {
      send("RPC.CALL", tag, requestClass, fields, body);
    }

    /** The next answer: tag, word, fields, body. */
    public List<byte[]> readResponse() throws IOException {
      return readFrame(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
