package tamarindroute.faultinjection;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.Writer;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A simulated control feed: numbers its events, those of the configuration being the first, answers
 * long polls, and fails as its {@link Behavior} says.
 */
final class ScriptedFeed implements AutoCloseable {

  /** How the feed answers. */
  enum Behavior {
    NORMAL,
    /** Reads requests and writes nothing. */
    SILENT,
    /** Resets the open connections. */
    CLOSE,
    /** Ends the connection in the middle of a response with events. */
    PARTIAL,
    /** Leaves out the first event of the next response with events. */
    GAP
  }

  private record NumberedEvent(int number, String text) {}

  private static final int BACKLOG = 32;

  private final ScenarioContext context;
  private final List<NumberedEvent> events = new ArrayList<>();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private int lastNumber = 1;
  private volatile Behavior behavior = Behavior.NORMAL;
  private volatile ServerSocket server;

  ScriptedFeed(ScenarioContext context) throws IOException {
    this.context = context;
    open();
  }

  int port() {
    return server.getLocalPort();
  }

  private void open() throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.bind(Sockets.loopback(0), BACKLOG);
    server = listener;
    Threads.start("feed", () -> accept(listener));
  }

  private void accept(ServerSocket listener) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        Threads.start("feed", () -> serve(socket, listener));
      } catch (IOException e) {
        Threads.sleep(5);
      }
    }
  }

  /**
   * Adds an event, with its number in place of N.
   *
   * @param created the journal's event, to which the number is added
   */
  synchronized void publish(String text, Journal.Entry created) {
    lastNumber++;
    events.add(new NumberedEvent(lastNumber, text.replace("N", String.valueOf(lastNumber))));
    created.with(EventField.EVENT_NUMBER, lastNumber).add();
    notifyAll();
  }

  /** Changes the behavior. */
  void behave(Behavior newBehavior) {
    behavior = newBehavior;
    context.journal.note("feed", EventField.BEHAVIOR, newBehavior);
    if (newBehavior == Behavior.CLOSE) {
      sockets.forEach(Sockets::reset);
    }
  }

  /** Listens on another port; the old connections get no more responses. */
  void move() throws IOException {
    ServerSocket old = server;
    open();
    old.close();
  }

  private synchronized List<NumberedEvent> awaitEventsAfter(int known, long waitMillis)
      throws InterruptedException {
    long end = System.currentTimeMillis() + waitMillis;
    while (lastNumber <= known && System.currentTimeMillis() < end && !context.finished) {
      wait(Math.max(1, end - System.currentTimeMillis()));
    }
    return events.stream().filter(event -> event.number > known).toList();
  }

  private void serve(Socket socket, ServerSocket listener) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      OutputStream out = socket.getOutputStream();
      boolean goesOn = true;
      while (goesOn) {
        String requestLine = readRequestLine(in);
        goesOn = requestLine != null && respond(requestLine, in, out, listener);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Reads a request; null at the connection's end. */
  private static String readRequestLine(BufferedReader in) throws IOException {
    String requestLine = in.readLine();
    String header = requestLine;
    while (header != null && !header.isEmpty()) {
      header = in.readLine();
    }
    return requestLine;
  }

  /** Answers one long poll; false if the connection is to end. */
  private boolean respond(
      String requestLine, BufferedReader in, OutputStream out, ServerSocket listener)
      throws IOException, InterruptedException {
    String[] numbers = requestLine.replaceAll("[^0-9]+", " ").strip().split(" ", -1);
    List<NumberedEvent> due =
        awaitEventsAfter(Integer.parseInt(numbers[1]), Long.parseLong(numbers[2]));
    // A feed that has moved stays silent on its old connections.
    if (behavior == Behavior.SILENT || listener.isClosed()) {
      in.transferTo(Writer.nullWriter());
      return false;
    }
    boolean gap = behavior == Behavior.GAP && !due.isEmpty();
    List<NumberedEvent> sent = gap ? due.subList(1, due.size()) : due;
    if (gap) {
      behavior = Behavior.NORMAL;
    }
    int last = due.isEmpty() ? lastNumber : due.get(due.size() - 1).number;
    String body = body(last, sent);
    byte[] response = response(body);
    if (behavior == Behavior.PARTIAL && !sent.isEmpty()) {
      out.write(response, 0, response.length - Math.max(1, body.length() / 2));
      out.flush();
      Threads.sleep(20);
      return false;
    }
    out.write(response);
    if (!gap) {
      // Events behind a gap do not count as sent: a reader may ask again to get all in order.
      sent.forEach(this::journalSent);
    }
    return true;
  }

  private void journalSent(NumberedEvent event) {
    context
        .journal
        .event(EventKind.FEED_EVENT_SENT, "feed")
        .with(EventField.EVENT_NUMBER, event.number)
        .add();
  }

  private static String body(int last, List<NumberedEvent> sent) {
    return "{\"n\":"
        + last
        + ",\"events\":["
        + String.join(",", sent.stream().map(NumberedEvent::text).toList())
        + "]}";
  }

  private static byte[] response(String body) {
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    server.close();
    sockets.forEach(Sockets::reset);
  }
}
