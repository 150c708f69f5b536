import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The world round the gateways of one case: the platform, control feeds, caches and clients, all on
 * the loopback and in this process. The gateways are processes of their own, started by the deploy
 * file's command. Each stand-in keeps to the operators' pages; what a case adds it adds itself.
 */
final class World implements AutoCloseable {

  static final byte[] CRLF = {'\r', '\n'};

  final long startedNanos = System.nanoTime();
  final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, World::daemon);
  final Path root = Path.of("").toAbsolutePath();
  final Path scratch;
  final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
  final Random random;
  private final PrintWriter record;

  World(Path folder, long seed) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    scratch = Files.createTempDirectory("review");
    random = new Random(seed);
    note("seed " + seed);
  }


  /** The body of a case: returns whether the rule held. */
  interface Body {
    boolean run(World world, boolean trouble) throws Exception;
  }

  private static final int LONGEST_CASE_SECONDS = 115;

  /** Runs a case and ends this process with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  static void runCase(String folder, long seed, Body body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (World world = new World(Path.of(folder), seed)) {
      Runtime.getRuntime().addShutdownHook(new Thread(world::endProcesses));
      start(
          () -> {
            sleep(LONGEST_CASE_SECONDS * 1000.0);
            System.err.println("the case took too long");
            System.exit(2);
          });
      world.note(trouble ? "with the disruption" : "without the disruption");
      status = body.run(world, trouble) ? 0 : 1;
      world.verdict(status == 0 ? "the rule held" : "the rule was broken");
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  final List<Process> processes = new CopyOnWriteArrayList<>();

  void endProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  void verdict(String text) {
    note(text);
    System.out.println(text);
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static void start(Runnable task) {
    daemon(task).start();
  }

  /** Milliseconds since the start of the case. */
  double now() {
    return (System.nanoTime() - startedNanos) / 1e6;
  }

  void note(String text) {
    synchronized (record) {
      record.printf("%10.1f %s%n", now(), text);
    }
  }

  void after(double millis, Runnable task) {
    timers.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            note("stand-in failed: " + e);
          }
        },
        (long) (millis * 1000),
        TimeUnit.MICROSECONDS);
  }

  static void sleep(double millis) {
    try {
      Thread.sleep(Math.max(0, (long) millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  synchronized String hex(int digits) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < digits; i++) {
      text.append(Character.forDigit(random.nextInt(16), 16));
    }
    return text.toString();
  }

  /** A port below those that the system gives to connections, free a moment ago. */
  synchronized int freePort() {
    while (true) {
      int port = 12_000 + java.util.concurrent.ThreadLocalRandom.current().nextInt(18_000);
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return port;
      } catch (IOException e) {
        // taken
      }
    }
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable each : open) {
      try {
        each.close();
      } catch (Exception e) {
        note("while closing: " + e);
      }
    }
    timers.shutdownNow();
    try (var files = Files.walk(scratch)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
    }
    synchronized (record) {
      record.close();
    }
  }

  // ---------------------------------------------------------------- frames

  static byte[] frame(Object... items) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(("*" + items.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
    for (Object item : items) {
      byte[] bytes =
          item instanceof byte[] raw ? raw : item.toString().getBytes(StandardCharsets.UTF_8);
      out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(bytes);
      out.writeBytes(CRLF);
    }
    return out.toByteArray();
  }

  static String line(InputStream in) throws IOException {
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
    String head = line(in);
    if (!head.startsWith("*")) {
      throw new IOException("no frame: " + head);
    }
    int count = Integer.parseInt(head.substring(1));
    List<byte[]> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String length = line(in);
      byte[] item = in.readNBytes(Integer.parseInt(length.substring(1)));
      if (item.length < Integer.parseInt(length.substring(1))) {
        throw new EOFException("the connection ended inside an item");
      }
      line(in);
      items.add(item);
    }
    return items;
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  static Map<String, String> fields(String text) {
    Map<String, String> fields = new LinkedHashMap<>();
    if (!text.isEmpty() && !text.equals("-")) {
      for (String field : text.split(",")) {
        int equals = field.indexOf('=');
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return fields;
  }

  // ---------------------------------------------------------------- control feed

  /** The platform's control feed. Its events are numbered from 1; the first holds the whole list. */
  final class Feed implements AutoCloseable {
    final ServerSocket server = new ServerSocket();
    final List<String> events = new ArrayList<>();
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    int version;

    Feed() throws IOException {
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort()));
      open.add(this);
      start(this::accept);
    }

    int port() {
      return server.getLocalPort();
    }

    synchronized void tell(String body) {
      events.add("{\"n\":" + (events.size() + 1) + "," + body + "}");
      note("feed tells " + events.get(events.size() - 1));
      notifyAll();
    }

    /** Tells a list of entries; the first is the whole list. */
    synchronized void members(boolean full, Collection<String> entries) {
      version++;
      tell(
          "\"members\":{\"version\":"
              + version
              + ",\"full\":"
              + full
              + ",\"servers\":["
              + String.join(",", entries)
              + "]}");
    }

    synchronized String known() {
      return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = server.accept();
          sockets.add(socket);
          start(() -> serve(socket));
        }
      } catch (IOException e) {
        // closed
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
          String request = line(in);
          while (!line(in).isEmpty()) {
            // headers are of no use here
          }
          int query = request.indexOf('?');
          long after = 0;
          long wait = 0;
          for (String part : request.substring(query + 1, request.indexOf(' ', query)).split("&")) {
            if (part.startsWith("SUB=")) {
              after = Long.parseLong(part.substring(4));
            } else if (part.startsWith("wait=")) {
              wait = Long.parseLong(part.substring(5));
            }
          }
          byte[] body = answer(after, Math.min(5000, wait)).getBytes(StandardCharsets.UTF_8);
          out.write(
              ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + body.length
                      + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          out.write(body);
          out.flush();
        }
      } catch (IOException e) {
        // the gateway has left
      } finally {
        sockets.remove(socket);
      }
    }

    private synchronized String answer(long after, long wait) {
      long until = System.nanoTime() + wait * 1_000_000;
      try {
        while (events.size() <= after && System.nanoTime() < until) {
          wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      int first = (int) Math.min(events.size(), after);
      return "{\"n\":"
          + events.size()
          + ",\"events\":["
          + String.join(",", events.subList(first, events.size()))
          + "]}";
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  // ---------------------------------------------------------------- caches

  /** An attempt that has come whole to a cache. */
  static final class Ask {
    Cache cache;
    Link link;
    String id;
    Map<String, String> fields;
    int bodyLength;
    double firstByteAt;
    double wholeAt;

    /** When it ended here: answered, given up, or its connection closed. */
    volatile double endedAt = Double.NaN;

    volatile String end;

    String object() {
      return fields.get("name") + "/" + fields.getOrDefault("piece", "0");
    }

    boolean isOut() {
      return end == null;
    }
  }

  /** One connection of a gateway to a cache. */
  static final class Link {
    Socket socket;
    OutputStream out;
    final Map<String, List<Ask>> asks = new ConcurrentHashMap<>();

    synchronized void write(byte[] bytes) {
      try {
        out.write(bytes);
        out.flush();
      } catch (IOException e) {
        // the gateway has left
      }
    }
  }

  /** What a cache does with an attempt. */
  interface Behaviour {
    void onAsk(Ask ask);
  }

  /** A cache, parent or the origin. It serves what it holds, fills what it is told to, and else misses. */
  class Cache implements AutoCloseable {
    final String id;
    final String zone;
    final String kind;
    final int cell;
    final double weight;
    final ServerSocket server = new ServerSocket();
    final Set<Link> links = ConcurrentHashMap.newKeySet();
    final ConcurrentLinkedQueue<Ask> received = new ConcurrentLinkedQueue<>();
    final Map<String, Long> copies = new ConcurrentHashMap<>();
    final AtomicLong connections = new AtomicLong();
    volatile String state = "ready";
    volatile long startedMillis;
    volatile Behaviour behaviour;

    /** Milliseconds from an attempt to its answer from an own copy, and from a source. */
    volatile double hitMillis = 5;

    volatile double fillMillis = 150;

    Cache(String id, String zone, String kind, int cell, double weight) throws IOException {
      this.id = id;
      this.zone = zone;
      this.kind = kind;
      this.cell = cell;
      this.weight = weight;
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort()), 200);
      behaviour = this::serveSoundly;
      open.add(this);
      start(this::accept);
    }

    String entry() {
      return String.format(
          "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,"
              + "\"state\":\"%s\",\"weight\":%s,\"started_ms\":%d}",
          id, server.getLocalPort(), zone, kind, cell, state, weight, startedMillis);
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          connections.incrementAndGet();
          Link link = new Link();
          link.socket = socket;
          link.out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
          links.add(link);
          start(() -> read(link));
        }
      } catch (IOException e) {
        // closed
      }
    }

    private void read(Link link) {
      try (Socket socket = link.socket) {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        while (true) {
          in.mark(1);
          if (in.read() < 0) {
            break;
          }
          double firstByteAt = now();
          in.reset();
          List<byte[]> items = readFrame(in);
          onCommand(link, items, firstByteAt);
        }
      } catch (IOException e) {
        // the gateway has left
      } finally {
        links.remove(link);
        for (List<Ask> asks : link.asks.values()) {
          for (Ask ask : asks) {
            end(ask, "closed");
          }
        }
      }
    }

    void onCommand(Link link, List<byte[]> items, double firstByteAt) {
      String word = text(items.get(0));
      String askId = text(items.get(1));
      switch (word) {
        case "ASK" -> {
          Ask ask = new Ask();
          ask.cache = this;
          ask.link = link;
          ask.id = askId;
          ask.fields = fields(text(items.get(2)));
          ask.bodyLength = items.size() > 3 ? items.get(3).length : 0;
          ask.firstByteAt = firstByteAt;
          ask.wholeAt = now();
          link.asks.computeIfAbsent(askId, any -> new CopyOnWriteArrayList<>()).add(ask);
          received.add(ask);
          note(id + " < ASK " + askId + " " + text(items.get(2)) + " body " + ask.bodyLength);
          behaviour.onAsk(ask);
        }
        case "QUIT" -> {
          note(id + " < QUIT " + askId);
          for (Ask ask : link.asks.getOrDefault(askId, List.of())) {
            end(ask, "given up");
          }
        }
        default -> link.write(frame(askId, "READY", "-", ""));
      }
    }

    boolean end(Ask ask, String how) {
      synchronized (ask) {
        if (ask.end != null) {
          return false;
        }
        ask.endedAt = now();
        ask.end = how;
        return true;
      }
    }

    /** Answers an attempt, unless it has ended. */
    void answer(Ask ask, String word, String fields, byte[] body) {
      if (end(ask, word)) {
        note(id + " > " + word + " " + ask.id + " " + fields);
        ask.link.write(frame(ask.id, word, fields, body));
      }
    }

    void miss(Ask ask) {
      answer(ask, "NOENT", "-", new byte[0]);
    }

    void served(Ask ask, String why, long dated) {
      String fields = "why=" + why + ",digest=" + digest(ask.fields.get("name"), dated) + ",dated=" + dated;
      answer(ask, "ACK", fields, content(ask.object(), 2000));
    }

    /** The age that will do, in milliseconds; the class's own if none is named. */
    long limit(Ask ask) {
      return Long.parseLong(ask.fields.getOrDefault("accept", "0"));
    }

    boolean holds(Ask ask) {
      Long dated = copies.get(ask.object());
      long limit = limit(ask);
      return dated != null && (limit == 0 || System.currentTimeMillis() - dated <= limit);
    }

    void serveSoundly(Ask ask) {
      if (holds(ask)) {
        long dated = copies.get(ask.object());
        after(hitMillis, () -> served(ask, "hit", dated));
      } else if (kind.equals("origin")) {
        after(hitMillis, () -> served(ask, "hit", System.currentTimeMillis()));
      } else if (ask.fields.get("parent") != null) {
        after(fillMillis, () -> fill(ask));
      } else {
        miss(ask);
      }
    }

    private void fill(Ask ask) {
      if (!ask.isOut()) {
        return;
      }
      long dated = System.currentTimeMillis();
      if (ask.fields.containsKey("shelf")) {
        copies.put(ask.object(), dated);
      }
      served(ask, "filled", dated);
    }

    /** As a process that dies: its connections are reset, its port refuses. */
    void die() throws IOException {
      server.close();
      for (Link link : links) {
        link.socket.setSoLinger(true, 0);
        link.socket.close();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Link link : links) {
        link.socket.close();
      }
    }
  }

  static String digest(String object, long dated) {
    return String.format("%016x", object.hashCode() * 0x9e3779b97f4a7c15L ^ dated);
  }

  static byte[] content(String object, int length) {
    byte[] bytes = new byte[length];
    new Random(object.hashCode()).nextBytes(bytes);
    return bytes;
  }

  // ---------------------------------------------------------------- clients

  /** A request of a client, and all that came back under its tag. */
  static final class Call {
    String tag;
    String rid;
    String requestClass;
    String object;
    String fields;
    double sentAt;

    /** When its last byte was written. */
    volatile double writtenAt = Double.MAX_VALUE;
    double budget;
    volatile double answeredAt = Double.NaN;
    volatile String word;
    volatile String answerFields;
    volatile byte[] body;
    volatile int answers;
    volatile String lost;
    Client client;
    final CompletableFuture<Call> done = new CompletableFuture<>();
  }

  /** One connection of a client to a gateway. */
  final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final OutputStream out;
    final Map<String, Call> calls = new ConcurrentHashMap<>();
    final AtomicLong tags = new AtomicLong();
    final List<String> healths = new CopyOnWriteArrayList<>();

    /** When the connection ended; 0 before. */
    volatile double endedAt;

    Client(int port) throws IOException {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
      socket.setTcpNoDelay(true);
      out = socket.getOutputStream();
      start(this::read);
    }

    Call call(String requestClass, String object, double budget, String more, byte[] body) {
      Call call = new Call();
      call.client = this;
      call.tag = Long.toString(tags.incrementAndGet());
      call.rid = hex(16);
      call.requestClass = requestClass;
      call.object = object;
      call.budget = budget;
      call.fields = "rid=" + call.rid + ",budget=" + (long) budget + ",obj=" + object + more;
      calls.put(call.tag, call);
      note("client > CALL " + call.tag + " " + requestClass + " " + call.fields);
      synchronized (out) {
        call.sentAt = now();
        try {
          out.write(frame("RPC.CALL", call.tag, requestClass, call.fields, body));
          out.flush();
          call.writtenAt = now();
        } catch (IOException e) {
          fail(call, "not sent: " + e.getMessage());
        }
      }
      return call;
    }

    void cancel(Call call) {
      note("client > CANCEL " + call.rid);
      send(frame("RPC.CANCEL", call.tag));
    }

    void send(byte[] bytes) {
      synchronized (out) {
        try {
          out.write(bytes);
          out.flush();
        } catch (IOException e) {
          note("client could not send: " + e.getMessage());
        }
      }
    }

    private void fail(Call call, String why) {
      if (call.word == null) {
        call.lost = why;
        call.done.complete(call);
      }
    }

    private void read() {
      String end = "the connection ended";
      try {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        while (true) {
          List<byte[]> items = readFrame(in);
          Call call = calls.get(text(items.get(0)));
          String word = text(items.get(1));
          if (call == null) {
            healths.add(word);
            continue;
          }
          call.answers++;
          note("client < " + word + " " + call.rid + (items.size() > 2 ? " " + text(items.get(2)) : ""));
          if (call.answers == 1) {
            call.answeredAt = now();
            call.answerFields = items.size() > 2 ? text(items.get(2)) : "";
            call.body = items.size() > 3 ? items.get(3) : new byte[0];
            call.word = word;
            call.done.complete(call);
          }
        }
      } catch (IOException | RuntimeException e) {
        end = String.valueOf(e.getMessage());
      }
      endedAt = now();
      for (Call call : calls.values()) {
        fail(call, end);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---------------------------------------------------------------- gateways

  /** One gateway, started as the deploy file says. */
  final class Gateway implements AutoCloseable {
    final String name;
    final int port;
    final Path config;
    final Path log;
    Process process;

    Gateway(String name, int port, String configuration) throws IOException {
      this.name = name;
      this.port = port;
      this.config = scratch.resolve(name + ".json");
      this.log = scratch.resolve(name + ".log");
      Files.writeString(config, configuration);
      open.add(this);
      startProcess();
    }

    void startProcess() throws IOException {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
      builder.directory(root.toFile());
      builder.environment().put("EDGE_NAME", name);
      builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("EDGE_CONFIG", config.toString());
      builder.environment().put("TMPDIR", scratch.toString());
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      processes.add(process);
      note("gateway " + name + " started");
    }

    /** Waits until it answers GREEN. */
    void awaitReady() throws IOException {
      double until = now() + 30_000;
      while (now() < until) {
        if (!process.isAlive()) {
          throw new IOException("gateway " + name + " has ended: " + Files.readString(log));
        }
        try (Client client = new Client(port)) {
          client.send(frame("RPC.HEALTH", "999999", ""));
          for (int i = 0; i < 20 && client.healths.isEmpty(); i++) {
            sleep(10);
          }
          if (client.healths.contains("GREEN")) {
            note("gateway " + name + " is ready");
            return;
          }
        } catch (IOException e) {
          // not yet
        }
        sleep(50);
      }
      throw new IOException("gateway " + name + " was not ready in 30 s");
    }

    void signal(String name) throws IOException {
      note("signal " + name + " to gateway " + this.name);
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    void kill() {
      note("gateway " + name + " killed");
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    String logText() throws IOException {
      return Files.exists(log) ? Files.readString(log) : "";
    }

    @Override
    public void close() throws IOException {
      process.destroyForcibly();
      note("log of gateway " + name + ":\n" + logText());
    }
  }

  /** The operators' command for a gateway. */
  String runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run")) {
        int from = line.indexOf('"');
        return line.substring(from + 1, line.indexOf('"', from + 1));
      }
    }
    throw new IOException("no run in deploy/balancer.toml");
  }

  String configuration(String name, int port, int feedPort, String known, String settings, int memory) {
    return "{\"name\":\""
        + name
        + "\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"seed\":\""
        + hex(16)
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
        + memory
        + ",\"sockets\":1024},\"feed\":\"127.0.0.1:"
        + feedPort
        + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":"
        + known
        + ",\"settings\":"
        + settings
        + "}";
  }

  /** Counts the most attempts of one request that were out at one time, over all caches. */
  static Map<String, Integer> mostOut(Collection<Ask> asks) {
    Map<String, List<double[]>> steps = new HashMap<>();
    for (Ask ask : asks) {
      List<double[]> list = steps.computeIfAbsent(ask.id, any -> new ArrayList<>());
      list.add(new double[] {ask.wholeAt, 1});
      if (ask.end != null) {
        list.add(new double[] {ask.endedAt, -1});
      }
    }
    Map<String, Integer> most = new LinkedHashMap<>();
    steps.forEach(
        (rid, list) -> {
          list.sort((a, b) -> a[0] != b[0] ? Double.compare(a[0], b[0]) : Double.compare(a[1], b[1]));
          int out = 0;
          int highest = 0;
          for (double[] step : list) {
            out += (int) step[1];
            highest = Math.max(highest, out);
          }
          most.put(rid, highest);
        });
    return most;
  }
}
