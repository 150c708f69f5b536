package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.log.Log;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;

/**
 * Owns the few connections to one cache, parent or origin, and the requests open on each. It must
 * never send a request twice, nor judge the cache: every end of a connection is told to those who
 * wait, and that is all.
 */
public final class CacheLine {

  /** Words before the body of an answer, and bounds on both; a body is 240,000 bytes at most. */
  private static final int ANSWER_WORDS = 3;

  private static final int LONGEST_WORD = 4096;
  private static final int LONGEST_BODY = 256 * 1024;

  /** No word of the protocol's, and so an error after which it may have run. */
  private static final String SPOILT = "";

  /**
   * A connection that carries fewer takes the next request too: a handshake costs the cache work
   * and its table of connections a place, and the request one to three ways there and back; the
   * settings let one carry many. No more, for a connection that breaks costs all that is open on
   * it.
   */
  private static final int FEW_OPEN = 4;

  /** Far more than a connection has given up in the time in which one view can be sent again. */
  private static final int MOST_QUIT = 500;

  /**
   * So many frames in a row that nobody waits for are noise, not late answers, and come for ever.
   */
  private static final int MOST_UNASKED = MOST_QUIT + 100;

  /**
   * Whoever has answered twice is not trusted for so many answers more: spoilt caches do it to some
   * in a hundred.
   */
  private static final int DOUBTED = 200;

  /** Of those ids so many are remembered: one is asked again at once, or not for long. */
  private static final int MOST_ANSWERED = 64;

  /**
   * An answer that comes at all comes within the longest deadline, which the protocol bounds by
   * this.
   */
  private static final Duration LONGEST_ANSWER = Duration.ofSeconds(3);

  /** An answer that rests for this gateway's own sake is looked at again after this. */
  private static final Duration SOON = Duration.ofMillis(20);

  /**
   * What the machine allows: connections to a cache, requests on one, time to come up, idle time.
   */
  public record Limits(int connections, int requests, Duration upWithin, Duration idle) {}

  private final Sockets sockets;
  private final Timers timers;
  private final InetSocketAddress address;
  private final String name;
  private final Limits limits;
  private final List<Link> links = new ArrayList<>();
  private boolean letGo;

  /**
   * How many answers more it is taken to answer twice; 0 for a cache that has not done so lately.
   */
  private int doubted;

  public CacheLine(
      Sockets sockets, Timers timers, String name, InetSocketAddress address, Limits limits) {
    this.sockets = sockets;
    this.timers = timers;
    this.name = name;
    this.address = address;
    this.limits = limits;
  }

  public InetSocketAddress address() {
    return address;
  }

  public boolean isLetGo() {
    return letGo;
  }

  /**
   * Sends a request, with its fields as they are when it is written; what is returned gives it up,
   * unless over.
   */
  public Runnable ask(
      String id, Supplier<String> fields, Iterable<IoBuffer> body, int length, Asked asked) {
    Link link = pick(id);
    link.ask(id, new Request(asked, fields, body, length));
    return () -> link.quit(id, asked);
  }

  /** Asks the cache how it is; an answer's word is READY or AILING, its fields hold the report. */
  public Runnable probe(String tag, Asked asked) {
    Link link = pick(tag);
    link.ask(tag, new Request(asked, null, List.of(), 0));
    return () -> link.quit(tag, asked);
  }

  /**
   * The cache is gone: connections are closed as their last request ends, and those that are coming
   * up at once, for whoever has the address by now is another.
   */
  public void letGo() {
    letGo = true;
    List.copyOf(links)
        .forEach(
            link -> {
              if (link.up) {
                link.closeIfDone();
              } else {
                link.connection.close(Ending.LET_GO, false);
              }
            });
  }

  /**
   * The least busy connection, or a new one while there are few and all carry several requests.
   * Where no descriptor is left for another, a busy one carries the request too.
   */
  private Link pick(String id) {
    Link best = null;
    for (Link link : List.copyOf(links)) {
      if (link.open.isEmpty() && link.idleTooLong()) {
        link.connection.close(Ending.LET_GO, true);
      } else if (!link.mute
          && !link.knows(id)
          && (best == null || link.open.size() < best.open.size())) {
        best = link;
      }
    }
    if (best == null
        || best.open.size() >= limits.requests()
        || best.open.size() >= FEW_OPEN
            && links.size() < limits.connections()
            && sockets.mayConnect()) {
      best = new Link();
      links.add(best);
      best.connect();
    }
    return best;
  }

  private static final class Request {
    final Asked asked;
    final boolean probe;
    Supplier<String> fields;
    Iterable<IoBuffer> body;
    final int length;
    long end = Long.MAX_VALUE;
    Duration writtenAt;

    /** The read that was the last to be looked at when it was written. */
    long writtenIn;

    Request(Asked asked, Supplier<String> fields, Iterable<IoBuffer> body, int length) {
      this.asked = asked;
      this.probe = fields == null;
      this.fields = fields;
      this.body = body;
      this.length = length;
    }
  }

  /** One connection. */
  private final class Link implements Peer {

    private Connection connection;
    private boolean up;
    private Runnable upTimer;
    private Duration usedAt = timers.now();
    private Duration heardAt = Duration.ZERO;

    /** A request was given up here and nothing at all has come since it was written. */
    private boolean mute;

    /** What was given up here last had not left by then. */
    private boolean stuck;

    private final Map<String, Request> open = new LinkedHashMap<>();

    /**
     * Given up here; a late answer must not be taken for that of a later request of the same id.
     */
    private final Set<String> quit = new LinkedHashSet<>();

    /** Answered here by a cache that answers twice; empty for any other. */
    private final Set<String> answered = new LinkedHashSet<>();

    private final RespReader reader = new RespReader(ANSWER_WORDS, LONGEST_WORD, LONGEST_BODY);
    private Runnable stallTimer;
    private Request answering;
    private String answeringId;

    /** The reads looked at so far, and in which of them the answer under way began. */
    private long reads;

    private long beganIn;

    /** Since when nobody waits for the answer under way, as far as it is known whose it is. */
    private Duration unwantedSince;

    private int unasked;

    void connect() {
      connection = sockets.connect(address, this);
      upTimer =
          timers.after(
              limits.upWithin(),
              () -> {
                if (!up) {
                  connection.close(Ending.NOT_UP_IN_TIME, false);
                }
              });
    }

    /** A cache closes what is idle for the time of the settings; a request must not cross that. */
    boolean idleTooLong() {
      return up
          && !limits.idle().isZero()
          && timers.now().minus(usedAt).compareTo(limits.idle().multipliedBy(4).dividedBy(5)) > 0;
    }

    boolean knows(String id) {
      return open.containsKey(id) || quit.contains(id) || answered.contains(id);
    }

    void ask(String id, Request request) {
      open.put(id, request);
      if (up) {
        write(id, request);
      }
    }

    private void write(String id, Request request) {
      usedAt = timers.now();
      request.writtenAt = usedAt;
      request.writtenIn = reads;
      if (request.probe) {
        connection.write(RespWriter.frame("INFO", id));
        request.end = connection.written();
        return;
      }
      ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
      Connection.copy(
          RespWriter.opening(request.length, "ASK", id, request.fields.get()),
          sockets.pool(),
          frame);
      for (IoBuffer part : request.body) {
        Connection.copy(part.buf().duplicate(), sockets.pool(), frame);
      }
      Connection.copy(RespWriter.closing(), sockets.pool(), frame);
      connection.write(frame);
      request.end = connection.written();
      request.fields = null;
      request.body = null;
    }

    void quit(String id, Asked asked) {
      Request request = open.get(id);
      if (request == null || request.asked != asked) {
        return;
      }
      open.remove(id);
      if (up && request.end != Long.MAX_VALUE) {
        stuck = !connection.hasLeft(request.end);
        if (!request.probe) {
          connection.write(RespWriter.frame("QUIT", id));
        }
        // A machine that vanished leaves its connections open and silent, for good: the next
        // request
        // takes a new one, which comes up only if the machine is there.
        mute |= heardAt.compareTo(request.writtenAt) < 0;
        quit.add(id);
        if (quit.size() > MOST_QUIT) {
          quit.remove(quit.iterator().next());
        }
      }
      if (request == answering) {
        answering = null;
        unwantedSince = timers.now();
        connection.resume();
      }
      closeIfDone();
    }

    /**
     * Descriptors may be scarce and caches many: what carries nothing gives way to another cache's.
     */
    @Override
    public Duration uselessSince() {
      return up && open.isEmpty() ? usedAt : null;
    }

    /**
     * What was given up and could not leave a mute connection stays here, or it would run long
     * after.
     */
    void closeIfDone() {
      if ((letGo || mute) && open.isEmpty()) {
        connection.close(Ending.LET_GO, !(mute && stuck));
      }
    }

    @Override
    public void opened() {
      up = true;
      upTimer.run();
      usedAt = timers.now();
      for (Map.Entry<String, Request> waiting : List.copyOf(open.entrySet())) {
        Request request = waiting.getValue();
        // The end of one that waited here may have been the end of another, too.
        if (open.get(waiting.getKey()) != request) {
          continue;
        }
        if (request.asked.stillWanted()) {
          write(waiting.getKey(), request);
        } else {
          open.remove(waiting.getKey());
          request.asked.ended(Ending.OVERTAKEN, false);
        }
      }
      closeIfDone();
    }

    @Override
    public void received(ByteBuffer bytes) {
      heardAt = connection.readAt();
      mute = false;
      reads++;
      try {
        while (!connection.paused()) {
          if (reader.atRest()) {
            beganIn = reads;
            unwantedSince = heardAt;
          }
          switch (reader.next(bytes)) {
            case MORE -> {
              if (stallTimer == null && !reader.atRest()) {
                stallTimer = timers.after(limits.upWithin(), this::stalled);
              }
              return;
            }
            case HEAD -> head();
            case BODY -> {
              if (answering != null) {
                answering.asked.body(reader.body(), connection);
              }
            }
            case END -> end();
          }
        }
      } catch (MalformedException e) {
        Log.line("cache-unreadable", name + ": " + e.getMessage());
        connection.close(Ending.UNREADABLE, false);
      }
    }

    /**
     * An answer that stopped short keeps all behind it from coming, so its connection is of no
     * further use. A cache that is there goes on within the time in which one that is there lets a
     * connection come up; and what nobody waits for any more must not go on for ever.
     */
    private void stalled() {
      stallTimer = null;
      if (reader.atRest()) {
        return;
      }
      Duration left = limits.upWithin().minus(timers.now().minus(heardAt));
      if (unwantedSince != null) {
        Duration whole = LONGEST_ANSWER.minus(timers.now().minus(unwantedSince));
        left = whole.compareTo(left) < 0 ? whole : left;
      }
      if (connection.paused() || connection.hasUnused() || left.compareTo(Duration.ZERO) > 0) {
        stallTimer = timers.after(left.compareTo(SOON) > 0 ? left : SOON, this::stalled);
      } else {
        connection.close(Ending.STALLED, false);
      }
    }

    /**
     * An answer whose words make no sense is spoilt, and costs its own trip alone: the frames are
     * sound.
     */
    private void head() throws MalformedException {
      List<String> words = reader.words();
      answeringId = words.get(0);
      answering = open.get(answeringId);
      if (answering != null && beganIn <= answering.writtenIn) {
        // It was read before this was written: the last leg's answer, a second time. Taken for this
        // one's it
        // would prove that nothing ran.
        answering = null;
      }
      if (answering == null) {
        unasked();
        return;
      }
      unasked = 0;
      unwantedSince = null;
      String word = words.size() > 1 ? words.get(1) : SPOILT;
      Fields fields = new Fields();
      try {
        fields = Fields.read(words.size() > 2 ? words.get(2) : "");
      } catch (MalformedException e) {
        Log.line("cache-unreadable", name + ": " + e.getMessage());
        word = SPOILT;
      }
      answering.asked.answered(word, fields, reader.bodyLength());
    }

    /**
     * A late answer to what was given up, or a second one; a cache that has once told twice may
     * again.
     */
    private void unasked() throws MalformedException {
      if (!quit.contains(answeringId)) {
        doubted = DOUBTED;
      }
      if (++unasked > MOST_UNASKED) {
        throw new MalformedException("nothing but answers that nobody asked for");
      }
    }

    /**
     * The next leg of a request takes another connection, where the answer to this one may come
     * again.
     */
    private void remember(String id) {
      if (doubted == 0) {
        answered.clear();
        return;
      }
      doubted--;
      answered.add(id);
      if (answered.size() > MOST_ANSWERED) {
        answered.remove(answered.iterator().next());
      }
    }

    private void end() {
      Request request = answering;
      answering = null;
      usedAt = timers.now();
      if (request != null) {
        open.remove(answeringId);
        remember(answeringId);
        request.asked.whole();
        closeIfDone();
      }
    }

    @Override
    public void ended(Ending ending) {
      links.remove(this);
      upTimer.run();
      if (stallTimer != null) {
        stallTimer.run();
      }
      List<Request> all = List.copyOf(open.values());
      if (!all.isEmpty()) {
        Log.line(
            "cache-lost",
            name
                + " "
                + ending
                + (up ? "" : " before it was up")
                + ", "
                + all.size()
                + " requests open");
      }
      open.clear();
      answering = null;
      for (Request request : all) {
        boolean given = request.end != Long.MAX_VALUE;
        request.asked.ended(
            ending, given && (ending.fromHere() || connection.hasLeft(request.end)));
      }
    }
  }
}
