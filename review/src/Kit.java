import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins for clients, caches and the control feed, and the start of gateways, for all cases. */
final class Kit {

  static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, Kit::daemon);
  private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime() & 0xffffffffffL);

  private Kit() {}

  static Thread daemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    return thread;
  }

  /** Whether the case plays its disruption. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
  static void exit(Record record, int code, String verdict) {
    record.line("verdict " + code + ": " + verdict);
    record.close();
    System.out.println(verdict);
    System.exit(code);
  }

  /** A new number of 16 hexadecimal digits. */
  static String newId() {
    return String.format("%016x", NEXT_ID.incrementAndGet() * 0x9e3779b97f4a7c15L);
  }

  /** What was sent, answered and run, one line each, with the Unix time in milliseconds. */
  static final class Record {
    private final BufferedWriter out;

    Record(Path file) throws IOException {
      out = Files.newBufferedWriter(file);
    }

    synchronized void line(String text) {
      try {
        out.write(System.currentTimeMillis() + " " + text + "\n");
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    synchronized void close() {
      try {
        out.flush();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  // ---- messages: RESP arrays of bulk strings

  static byte[] frame(Object... items) {
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

  static List<byte[]> readFrame(InputStream in) throws IOException {
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

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  static Map<String, String> fields(String list) {
    Map<String, String> fields = new LinkedHashMap<>();
    for (String field : list.split(",")) {
      int separator = field.indexOf('=');
      if (separator > 0) {
        fields.put(field.substring(0, separator), field.substring(separator + 1));
      }
    }
    return fields;
  }

  // ---- a cache, parent or origin

  /** A request as a cache received it. */
  record Ask(
      CacheConnection connection, String id, Map<String, String> fields, byte[] body, long at) {

    void answer(String word, String fieldList, byte[] content) {
      connection.write(frame(id, word, fieldList, content));
    }

    void answerLater(long millis, String word, String fieldList, byte[] content) {
      TIMER.schedule(() -> answer(word, fieldList, content), millis, TimeUnit.MILLISECONDS);
    }
  }

  /** What a cache does with a request, and with one that is given up. */
  interface CacheBehavior {
    void onAsk(Ask ask);

    default void onQuit(CacheConnection connection, String id) {}
  }

  static final class CacheConnection {
    final Socket socket;
    private final OutputStream out;

    CacheConnection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    void write(byte[] bytes) {
      synchronized (out) {
        try {
          out.write(bytes);
          out.flush();
        } catch (IOException e) {
          // The gateway has closed the connection, and with it given up all that was open.
        }
      }
    }
  }

  static final class Cache {
    final String id;
    final ServerSocket server;
    volatile CacheBehavior behavior;

    Cache(String id, CacheBehavior behavior) throws IOException {
      this.id = id;
      this.behavior = behavior;
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
      daemon(this::acceptAll).start();
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    private void acceptAll() {
      try {
        while (true) {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          daemon(() -> serve(socket)).start();
        }
      } catch (IOException e) {
        // The cache was closed.
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        CacheConnection connection = new CacheConnection(socket);
        InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
        while (true) {
          List<byte[]> command = readFrame(in);
          String word = text(command.get(0));
          String id = text(command.get(1));
          if (word.equals("ASK")) {
            behavior.onAsk(
                new Ask(
                    connection,
                    id,
                    fields(text(command.get(2))),
                    command.get(3),
                    System.currentTimeMillis()));
          } else if (word.equals("QUIT")) {
            behavior.onQuit(connection, id);
          } else {
            connection.write(frame(id, "READY", "-", ""));
          }
        }
      } catch (IOException e) {
        // The gateway has closed the connection.
      }
    }
  }

  // ---- the control feed

  /** The control feed: answers at once with later events, or when the time to wait is over. */
  static final class Feed {
    final ServerSocket server;
    final List<String> events = new ArrayList<>();
    volatile Record record;

    Feed() throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
      daemon(this::acceptAll).start();
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds an event; N stands for its number. Returns the Unix time of that. */
    synchronized long publish(String event) {
      events.add(event.replace("\"n\":N", "\"n\":" + (events.size() + 1)));
      notifyAll();
      return System.currentTimeMillis();
    }

    /** What a configuration holds under 'known': all events up to now. */
    synchronized String known() {
      return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    private synchronized String after(int number, long waitMillis) throws InterruptedException {
      long end = System.currentTimeMillis() + waitMillis;
      while (events.size() <= number && System.currentTimeMillis() < end) {
        wait(Math.max(1, end - System.currentTimeMillis()));
      }
      int from = Math.min(number, events.size());
      return "{\"n\":"
          + events.size()
          + ",\"events\":["
          + String.join(",", events.subList(from, events.size()))
          + "]}";
    }

    private void acceptAll() {
      try {
        while (true) {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          daemon(() -> serve(socket)).start();
        }
      } catch (IOException e) {
        // The feed was closed.
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
          String request = readLine(in);
          while (!readLine(in).isEmpty()) {
            // The headers are of no use here.
          }
          int number = Integer.parseInt(request.replaceAll(".*SUB=(\\d+).*", "$1"));
          long wait = Long.parseLong(request.replaceAll(".*wait=(\\d+).*", "$1"));
          note("feed asked: " + request);
          String body = after(number, Math.min(5000, wait));
          String head =
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                  + body.getBytes(StandardCharsets.UTF_8).length
                  + "\r\n\r\n";
          out.write((head + body).getBytes(StandardCharsets.UTF_8));
          out.flush();
          note("feed answered: " + (body.length() > 300 ? body.length() + " bytes" : body));
        }
      } catch (IOException | InterruptedException e) {
        note("feed connection ended by the gateway");
      }
    }

    private void note(String text) {
      Record current = record;
      if (current != null) {
        current.line(text);
      }
    }
  }

  /** An entry of the list of caches. */
  static String entry(
      Cache cache, String zone, String kind, int cell, String state, double weight, long started) {
    return "{\"id\":\""
        + cache.id
        + "\",\"addr\":\""
        + cache.address()
        + "\",\"zone\":\""
        + zone
        + "\",\"kind\":\""
        + kind
        + "\",\"cell\":"
        + cell
        + ",\"state\":\""
        + state
        + "\",\"weight\":"
        + weight
        + ",\"started_ms\":"
        + started
        + "}";
  }

  static String members(int version, boolean full, List<String> entries) {
    return "{\"n\":N,\"members\":{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}}";
  }

  // ---- a client's connection

  record Answer(String word, Map<String, String> fields, byte[] body, long at) {}

  /** One connection of a client; answers come in any order. */
  static final class Client {
    final Socket socket;
    private final OutputStream out;
    private final Map<String, CompletableFuture<Answer>> open = new ConcurrentHashMap<>();
    private final double bytesPerSecond;
    private long tag;
    volatile boolean ended;

    Client(int port) throws IOException {
      this(port, 0);
    }

    /** A client that reads so many bytes a second at most; 0 for as many as come. */
    Client(int port, double bytesPerSecond) throws IOException {
      this.bytesPerSecond = bytesPerSecond;
      socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
      socket.setTcpNoDelay(true);
      out = socket.getOutputStream();
      daemon(this::readAll).start();
    }

    int openCount() {
      return open.size();
    }

    private void readAll() {
      try {
        InputStream received = socket.getInputStream();
        InputStream in =
            new BufferedInputStream(
                bytesPerSecond > 0 ? new PacedInput(received, bytesPerSecond) : received, 65536);
        while (true) {
          List<byte[]> items = readFrame(in);
          CompletableFuture<Answer> waiting = open.remove(text(items.get(0)));
          Answer answer =
              new Answer(
                  text(items.get(1)),
                  fields(items.size() > 2 ? text(items.get(2)) : ""),
                  items.size() > 3 ? items.get(3) : new byte[0],
                  System.currentTimeMillis());
          if (waiting != null) {
            waiting.complete(answer);
          }
        }
      } catch (IOException | RuntimeException e) {
        ended = true;
        open.values()
            .forEach(
                waiting ->
                    waiting.complete(
                        new Answer("(closed)", Map.of(), new byte[0], System.currentTimeMillis())));
      }
    }

    /** Sends a request; the answer's word is '(closed)' if the connection ends before it. */
    CompletableFuture<Answer> call(String requestClass, String fieldList, byte[] body)
        throws IOException {
      CompletableFuture<Answer> answer = new CompletableFuture<>();
      synchronized (out) {
        String number = String.valueOf(++tag);
        open.put(number, answer);
        out.write(frame("RPC.CALL", number, requestClass, fieldList, body));
        out.flush();
      }
      return answer;
    }

    CompletableFuture<Answer> health() throws IOException {
      CompletableFuture<Answer> answer = new CompletableFuture<>();
      synchronized (out) {
        String number = String.valueOf(++tag);
        open.put(number, answer);
        out.write(frame("RPC.HEALTH", number, ""));
        out.flush();
      }
      return answer;
    }
  }

  /** Reads at a steady pace at most, and never stops reading. */
  private static final class PacedInput extends FilterInputStream {
    private final double bytesPerSecond;
    private long due = System.nanoTime();

    PacedInput(InputStream in, double bytesPerSecond) {
      super(in);
      this.bytesPerSecond = bytesPerSecond;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      pause((due - System.nanoTime()) / 1_000_000);
      int count = super.read(bytes, offset, Math.min(length, 32768));
      due = Math.max(due, System.nanoTime()) + (long) (Math.max(0, count) * 1e9 / bytesPerSecond);
      return count;
    }
  }

  // ---- gateways

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket()) {
      probe.setReuseAddress(true);
      probe.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      return probe.getLocalPort();
    }
  }

  /** One gateway, started with the deploy file's command. */
  static final class Gateway {
    final String name;
    final int port;
    final Process process;
    final Path log;

    Gateway(Path root, Path folder, String name, int port, String config) throws IOException {
      this.name = name;
      this.port = port;
      Path file = folder.resolve(name + ".json");
      Files.writeString(file, config);
      log = folder.resolve(name + ".log");
      Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
      builder.directory(root.toFile());
      builder.environment().put("EDGE_CONFIG", file.toString());
      builder.environment().put("EDGE_NAME", name);
      builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("TMPDIR", temporary.toString());
      builder.redirectErrorStream(true).redirectOutput(new File(log.toString()));
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static String runCommand(Path root) throws IOException {
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          return line.substring(7, line.indexOf('"', 7));
        }
      }
      throw new IOException("deploy/balancer.toml has no run command");
    }

    /** Waits until the gateway answers a health check with GREEN. */
    boolean awaitReady(long millis) throws InterruptedException {
      long end = System.currentTimeMillis() + millis;
      while (System.currentTimeMillis() < end && process.isAlive()) {
        try {
          Client client = new Client(port);
          Answer answer = client.health().get(1, TimeUnit.SECONDS);
          client.socket.close();
          if (answer.word().equals("GREEN")) {
            return true;
          }
        } catch (IOException | TimeoutException | ExecutionException e) {
          // Not listening yet.
        }
        Thread.sleep(50);
      }
      return false;
    }
  }

  /** A configuration of the platform's form; the settings are given as JSON. */
  static String config(
      String name, int port, String feed, String known, int memoryMb, int sockets, String settings) {
    return "{\"name\":\""
        + name
        + "\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"seed\":\""
        + newId()
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
        + memoryMb
        + ",\"sockets\":"
        + sockets
        + "},\"feed\":\""
        + feed
        + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":"
        + known
        + ",\"settings\":"
        + settings
        + "}";
  }

  static void pause(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
