package tamarindroute.resolver;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.WireParseException;
import tamarindroute.dns.TcpMessageFramer;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Owns the questions of ours that are under way: sends each from a fresh port with a random id and
 * letters' case, joins equal ones, goes to TCP for what was cut, and ends each within its time with
 * one result. It must never decide whom to ask, whether to ask again, what to believe or how long
 * to keep it.
 */
public final class Forwarder {

  /** The result of a question: an answer, perhaps stale, or none. */
  public record Result(Message message, boolean stale) {}

  /**
   * A zone's servers, how long a question may take, and how long its answers are given out past
   * their time.
   */
  public static final class Route {

    private final Name zone;
    private final UpstreamSelector upstreams;
    private final Duration timeout;
    private final Duration maxStaleness;
    private final boolean recursive;

    /** Recursive where the upstreams are resolvers, not the zone's own servers. */
    public Route(
        Name zone,
        UpstreamSelector upstreams,
        Duration within,
        Duration staleFor,
        boolean recursive) {
      this.zone = zone;
      this.upstreams = upstreams;
      this.timeout = within;
      this.maxStaleness = staleFor;
      this.recursive = recursive;
    }
  }

  /** What is told of ourselves in EDNS: no fragments on any way. */
  private static final int EDNS_PAYLOAD_BYTES = 1232;

  private static final int MAX_MESSAGE_BYTES = Message.MAXLENGTH;

  /** First and further attempts of one question. */
  private static final int MAX_ATTEMPTS = 3;

  /** Questions under way at once; past it they fail at once. */
  private static final int MAX_PENDING_QUESTIONS = 1000;

  /** Askers that wait for the same question. */
  private static final int MAX_WAITING_CALLERS = 200;

  /** Wrong answers to one attempt before its port is left: a forger is guessing ids there. */
  private static final int MAX_MISMATCHES = 20;

  /**
   * While all fail, the stale answer is given after this, for clients wait no longer (RFC 8767 has
   * 1.8 s).
   */
  private static final Duration STALE_AFTER = Duration.ofMillis(800);

  private final Scheduler scheduler;
  private final DatagramTransport datagrams;
  private final SocketTransport transport;
  private final AnswerCache cache = new AnswerCache();
  private final RetryBudget budget = new RetryBudget();
  private final Map<AnswerCache.Question, PendingQuestion> pending = new HashMap<>();
  private final SecureRandom random = new SecureRandom();

  public Forwarder(Scheduler scheduler, DatagramTransport datagrams, SocketTransport transport) {
    this.scheduler = scheduler;
    this.datagrams = datagrams;
    this.transport = transport;
  }

  /** What was known of a question, while nobody answers it; without a message where nothing was. */
  private Result staleAnswer(Route route, AnswerCache.Question question) {
    AnswerCache.CachedAnswer found = cache.stale(question, route.maxStaleness, scheduler.now());
    return found == null ? new Result(null, false) : new Result(found.message(), found.stale());
  }

  /**
   * Asks; the result comes once, on the owner's thread, at the latest when the route's time is
   * over.
   */
  public void query(Route route, Name name, int type, Consumer<Result> then) {
    AnswerCache.Question question = new AnswerCache.Question(name, type);
    AnswerCache.CachedAnswer found = cache.fresh(question, scheduler.now());
    if (found != null) {
      then.accept(new Result(found.message(), false));
      return;
    }
    PendingQuestion pendingQuestion = pending.get(question);
    if (pendingQuestion != null && pendingQuestion.staleTold) {
      // Nobody has answered for a while: whoever asks now need not wait as long as the first did.
      then.accept(staleAnswer(route, question));
      return;
    }
    if (pendingQuestion != null && pendingQuestion.waiting.size() < MAX_WAITING_CALLERS) {
      pendingQuestion.waiting.add(then);
      return;
    }
    if (pendingQuestion != null || pending.size() >= MAX_PENDING_QUESTIONS) {
      then.accept(staleAnswer(route, question));
      return;
    }
    pendingQuestion = new PendingQuestion(route, question);
    pending.put(question, pendingQuestion);
    pendingQuestion.waiting.add(then);
    budget.onFirstAttempt(scheduler.now());
    pendingQuestion.attempt();
  }

  /** One question under way, for all who asked it. */
  private final class PendingQuestion {

    private final Route route;
    private final AnswerCache.Question question;
    private final List<Consumer<Result>> waiting = new ArrayList<>(1);
    private final Set<UpstreamSelector.Upstream> tried = new HashSet<>();
    private final Runnable deadline;
    private final Runnable staleTimer;
    private Attempt out;
    private int sent;
    private boolean staleTold;

    PendingQuestion(Route route, AnswerCache.Question question) {
      this.route = route;
      this.question = question;
      this.deadline = scheduler.schedule(route.timeout, () -> giveUp("time is over"));
      this.staleTimer = scheduler.schedule(STALE_AFTER, this::stale);
    }

    void attempt() {
      UpstreamSelector.Upstream upstream = route.upstreams.next(tried, scheduler.now());
      if (upstream == null && tried.size() == route.upstreams.all().size()) {
        // All were asked once: the better of them once more, where the budget allows it.
        upstream = route.upstreams.next(Set.of(), scheduler.now());
      }
      boolean allowed = sent == 0 || sent < MAX_ATTEMPTS && budget.tryRetry(scheduler.now());
      if (upstream == null || !allowed) {
        giveUp(
            upstream == null
                ? "every upstream has its limit in flight"
                : "no further attempt is allowed");
        return;
      }
      sent++;
      tried.add(upstream);
      out = new Attempt(this, upstream);
      out.go();
    }

    /**
     * Nobody answers yet, and what was known is better than more waiting; the question goes on
     * behind.
     */
    private void stale() {
      Result known = staleAnswer(route, question);
      if (known.message() != null && !waiting.isEmpty()) {
        staleTold = true;
        tell(known);
      }
    }

    void giveUp(String why) {
      if (out != null) {
        out.quit();
      }
      Result known = staleAnswer(route, question);
      Log.infoWithFields(
          "upstream-none",
          question.name() + ": " + why,
          "attempts",
          sent,
          "stale",
          known.message() != null);
      end(known);
    }

    void good(Message message) {
      cache.put(question, message, scheduler.now());
      end(new Result(message, false));
    }

    private void end(Result result) {
      pending.remove(question, this);
      deadline.run();
      staleTimer.run();
      tell(result);
    }

    private void tell(Result result) {
      List<Consumer<Result>> all = List.copyOf(waiting);
      waiting.clear();
      all.forEach(one -> one.accept(result));
    }
  }

  /** One sending of a question to one upstream. */
  private final class Attempt implements DatagramTransport.ReplyHandler, ConnectionHandler {

    private final PendingQuestion pendingQuestion;
    private final UpstreamSelector.Upstream upstream;
    private final int id = random.nextInt(1 << 16);
    private final Name name;
    private final Duration from = scheduler.now();
    private Runnable timer = () -> {};
    private Runnable quit = () -> {};
    private Connection connection;
    private final TcpMessageFramer framer = new TcpMessageFramer(MAX_MESSAGE_BYTES);
    private int wrong;
    private boolean over;

    Attempt(PendingQuestion pendingQuestion, UpstreamSelector.Upstream upstream) {
      this.pendingQuestion = pendingQuestion;
      this.upstream = upstream;
      this.name = randomizeCase(pendingQuestion.question.name());
    }

    void go() {
      Duration wait = pendingQuestion.route.upstreams.sent(upstream, from);
      timer = scheduler.schedule(wait, () -> failed("silent", true));
      quit = datagrams.query(upstream.address, query(), this);
    }

    private byte[] query() {
      Message message = new Message(id);
      if (pendingQuestion.route.recursive) {
        message.getHeader().setFlag(Flags.RD);
      }
      message.addRecord(
          Record.newRecord(name, pendingQuestion.question.type(), DClass.IN), Section.QUESTION);
      message.addRecord(new OPTRecord(EDNS_PAYLOAD_BYTES, 0, 0), Section.ADDITIONAL);
      return message.toWire();
    }

    /** On the owner's thread, from either transport. */
    @Override
    public void onReply(byte[] bytes) {
      if (over) {
        return;
      }
      AnswerValidator.Verdict said =
          AnswerValidator.validate(
              bytes, id, name, pendingQuestion.question.type(), pendingQuestion.route.zone);
      if (said instanceof AnswerValidator.Accepted good) {
        end();
        pendingQuestion.route.upstreams.answered(
            upstream, scheduler.now().minus(from), scheduler.now());
        pendingQuestion.good(good.message());
      } else if (said instanceof AnswerValidator.Truncated && connection == null) {
        quit.run();
        connection = transport.connect(upstream.address, this);
        quit = () -> connection.close(CloseReason.CLOSED_LOCALLY, false);
      } else if (said instanceof AnswerValidator.Unusable unwilling) {
        failed(unwilling.reason(), false);
      } else {
        Log.infoWithFields("answer-forged", said, "upstream", upstream.address);
        if (++wrong >= MAX_MISMATCHES) {
          failed("flooded with wrong answers", true);
        }
      }
    }

    @Override
    public void onOpened() {
      connection.write(TcpMessageFramer.frame(query()));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      try {
        for (byte[] whole = framer.nextMessage(bytes);
            whole != null;
            whole = framer.nextMessage(bytes)) {
          onReply(whole);
        }
      } catch (MalformedMessageException e) {
        connection.close(CloseReason.PROTOCOL_ERROR, false);
      }
      bytes.position(bytes.limit());
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      failed(closeReason.toString(), false);
    }

    private void failed(String why, boolean silent) {
      if (over) {
        return;
      }
      end();
      pendingQuestion.route.upstreams.failed(upstream, silent, scheduler.now());
      Log.infoWithFields(
          "upstream-failed",
          why,
          "upstream",
          upstream.address,
          "name",
          pendingQuestion.question.name());
      pendingQuestion.out = null;
      pendingQuestion.attempt();
    }

    private void end() {
      over = true;
      timer.run();
      quit.run();
    }

    void quit() {
      if (!over) {
        end();
        pendingQuestion.route.upstreams.abandoned(upstream);
      }
    }
  }

  /** The same name in letters of random case: an answer must bring it back to the letter. */
  private Name randomizeCase(Name name) {
    byte[] wire = name.toWire();
    for (int i = 0; i < wire.length; ) {
      int length = wire[i++];
      for (int end = i + length; i < end; i++) {
        boolean letter = wire[i] >= 'A' && wire[i] <= 'Z' || wire[i] >= 'a' && wire[i] <= 'z';
        wire[i] = letter && random.nextBoolean() ? (byte) (wire[i] ^ 0x20) : wire[i];
      }
    }
    try {
      return new Name(new org.xbill.DNS.DNSInput(wire));
    } catch (WireParseException e) {
      throw new IllegalStateException("a name that was one before", e);
    }
  }

  /** A route to resolvers for any name. */
  public static Route routeToResolvers(
      List<InetSocketAddress> addresses, Duration within, long seed) {
    return new Route(
        Name.root,
        new UpstreamSelector(addresses, MAX_IN_FLIGHT, seed),
        within,
        Duration.ofDays(1),
        true);
  }

  /** Questions of ours that one upstream has at once; more would only wait there. */
  public static final int MAX_IN_FLIGHT = 32;

  /** A name as settings spell it, always from the root. */
  public static Name absoluteName(String text) {
    try {
      return Name.fromString(text.endsWith(".") ? text : text + ".");
    } catch (TextParseException e) {
      throw new IllegalArgumentException("no name: " + text);
    }
  }
}
