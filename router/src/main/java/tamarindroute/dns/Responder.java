package tamarindroute.dns;

import java.net.InetAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.dns.DnsSettings.ForwardedZone;
import tamarindroute.log.Log;

/**
 * Turns the bytes of a query into a reply: a response, silence, or a question to forward to another
 * installation's router. Applies the response rate limit.
 */
public final class Responder {

  /** What to do with a query. */
  public sealed interface Reply {}

  /** Send a response back. */
  public static final class Send implements Reply {

    private final byte[] bytes;

    private Send(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Returns the encoded response, which the caller may keep. */
    public byte[] bytes() {
      return bytes;
    }
  }

  /** Send nothing back. */
  public record Silence() implements Reply {}

  /**
   * Ask another installation's router and pass its answer to {@link #onForwardedAnswer}.
   *
   * @param zone where the question belongs
   * @param pending what {@link #onForwardedAnswer} needs to know of the query
   */
  public record Forward(ForwardedZone zone, Record question, PendingQuery pending)
      implements Reply {}

  /** A query that waits for the answer to a forwarded question. */
  public static final class PendingQuery {
    private final Query query;
    private final InetAddress sender;
    private final boolean datagram;

    private PendingQuery(Query query, InetAddress sender, boolean datagram) {
      this.query = query;
      this.sender = sender;
      this.datagram = datagram;
    }
  }

  /** Who sent a query, over which transport, and when. */
  private record Source(InetAddress sender, boolean datagram, Duration now, Instant wallTime) {}

  private static final Reply SILENCE = new Silence();
  private static final String UPSTREAM_UNREACHABLE = "the zone's own router does not answer";

  private final DnsSettings settings;
  private final SteeredAnswers steeredAnswers;
  private final AuthoritativeAnswers answers;
  private final ResponseEncoder encoder;
  private final QueryCounters counters;
  private final ServerCookies cookies;
  private final ResponseRateLimiter rateLimiter;

  /**
   * Creates a responder for these settings. Cookies, limiter and counters may outlast it.
   *
   * @param steering null if the settings have no steered names
   */
  public Responder(
      DnsSettings settings,
      Steering steering,
      ServerCookies cookies,
      ResponseRateLimiter rateLimiter,
      QueryCounters counters) {
    this.settings = settings;
    this.steeredAnswers = new SteeredAnswers(settings.steering(), steering, counters);
    this.answers = new AuthoritativeAnswers(settings, steeredAnswers);
    this.encoder = new ResponseEncoder(settings.limits(), cookies, counters);
    this.cookies = cookies;
    this.rateLimiter = rateLimiter;
    this.counters = counters;
  }

  /** Returns how often each reason decided on a steered answer. */
  public Map<SteeringDecision.Reason, Long> reasons() {
    return steeredAnswers.reasonCounts();
  }

  /**
   * Decides on the reply to a query.
   *
   * @param datagram whether it came over UDP rather than TCP
   * @param now monotonic time
   * @param wallTime time of day, which cookies contain
   */
  public Reply answer(
      byte[] bytes, InetAddress sender, boolean datagram, Duration now, Instant wallTime) {
    counters.increment(QueryCounters.Event.QUERY);
    Source source = new Source(sender, datagram, now, wallTime);
    Query query;
    try {
      query = Query.read(bytes);
    } catch (Query.InvalidQueryException e) {
      return replyToInvalid(bytes, e.rcode, source);
    }
    ForwardedZone forwardedZone = forwardedZoneOf(query);
    if (forwardedZone != null) {
      return forward(query, forwardedZone, source);
    }
    ResponseDraft draft = new ResponseDraft(query, sender, now);
    try {
      fill(draft);
    } catch (RuntimeException e) {
      // A defect costs this query its answer, not the server its thread.
      draft.removeAllRecords();
      draft.fail(Rcode.SERVFAIL, ResponseDraft.EDE_OTHER, "a defect");
      Log.defect(e);
    }
    byte[] response = encoder.encode(draft, datagram, wallTime);
    ResponseRateLimiter.Verdict verdict = limit(query, kindOf(draft.rcode()), source);
    return verdict == ResponseRateLimiter.Verdict.SEND
        ? new Send(response)
        : replyToLimited(verdict, query, source);
  }

  /**
   * Returns the response to a query whose question was forwarded. The rate limit was applied then.
   *
   * @param answer the answer received; null if none came in time
   * @param stale whether the answer is from the cache and past its TTL
   */
  public Reply onForwardedAnswer(
      PendingQuery pending, Message answer, boolean stale, Duration now, Instant wallTime) {
    ResponseDraft draft = new ResponseDraft(pending.query, pending.sender, now);
    if (answer == null) {
      draft.fail(Rcode.SERVFAIL, ResponseDraft.EDE_NO_REACHABLE_AUTHORITY, UPSTREAM_UNREACHABLE);
    } else {
      copyAnswer(answer, draft);
      if (stale) {
        draft.setExtendedError(ResponseDraft.EDE_STALE_ANSWER, UPSTREAM_UNREACHABLE);
        counters.increment(QueryCounters.Event.STALE);
      }
    }
    draft.message().getHeader().setFlag(Flags.RA);
    return new Send(encoder.encode(draft, pending.datagram, wallTime));
  }

  private static void copyAnswer(Message answer, ResponseDraft draft) {
    draft.setRcode(answer.getHeader().getRcode());
    // The forwarded question had letters of random case; the client gets its own spelling back.
    Name name = draft.query().question().getName();
    for (int section : new int[] {Section.ANSWER, Section.AUTHORITY}) {
      for (Record record : answer.getSection(section)) {
        draft.message().addRecord(AuthoritativeAnswers.withSpelling(record, name), section);
      }
    }
  }

  private Reply replyToInvalid(byte[] bytes, int rcode, Source source) {
    counters.increment(QueryCounters.Event.MALFORMED);
    if (rcode == Query.InvalidQueryException.NO_REPLY) {
      return SILENCE;
    }
    ResponseRateLimiter.Verdict verdict =
        limit(null, ResponseRateLimiter.ResponseKind.ERROR, source);
    return verdict == ResponseRateLimiter.Verdict.SEND
        ? new Send(ResponseEncoder.encodeHeader(bytes, rcode))
        : replyToLimited(verdict, null, source);
  }

  private Reply forward(Query query, ForwardedZone zone, Source source) {
    ResponseRateLimiter.Verdict verdict =
        limit(query, ResponseRateLimiter.ResponseKind.ANSWER, source);
    if (verdict != ResponseRateLimiter.Verdict.SEND) {
      return replyToLimited(verdict, query, source);
    }
    counters.increment(QueryCounters.Event.FORWARDED);
    return new Forward(
        zone, query.question(), new PendingQuery(query, source.sender, source.datagram));
  }

  /** Returns the zone to which a query is forwarded; null if it is answered here. */
  private ForwardedZone forwardedZoneOf(Query query) {
    if (!isSupportedEdnsVersion(query) || !isServedClassAndType(query.question())) {
      return null;
    }
    Name name = query.question().getName();
    for (ForwardedZone zone : settings.forwardedZones()) {
      if (name.subdomain(zone.zone())) {
        return zone;
      }
    }
    return null;
  }

  private void fill(ResponseDraft draft) {
    Record question = draft.query().question();
    if (!isSupportedEdnsVersion(draft.query())) {
      draft.setRcode(Rcode.BADVERS);
    } else if (question.getDClass() == DClass.CH) {
      answers.answerIdentity(draft);
    } else if (!isServedClassAndType(question)) {
      draft.fail(Rcode.REFUSED, ResponseDraft.EDE_OTHER, "no such class or type is served");
    } else {
      answers.answer(draft);
    }
  }

  private static boolean isSupportedEdnsVersion(Query query) {
    return query.edns() == null || query.edns().getVersion() == 0;
  }

  private static boolean isServedClassAndType(Record question) {
    boolean servedClass = question.getDClass() == DClass.IN || question.getDClass() == DClass.ANY;
    boolean servedType = Type.isRR(question.getType()) || question.getType() == Type.ANY;
    return servedClass && servedType;
  }

  private static ResponseRateLimiter.ResponseKind kindOf(int rcode) {
    return switch (rcode) {
      case Rcode.NOERROR -> ResponseRateLimiter.ResponseKind.ANSWER;
      case Rcode.NXDOMAIN -> ResponseRateLimiter.ResponseKind.NXDOMAIN;
      default -> ResponseRateLimiter.ResponseKind.ERROR;
    };
  }

  /**
   * Applies the rate limit. A TCP connection or a valid cookie proves the sender's address, so that
   * the response cannot hit anyone else.
   *
   * @param query null if it could not be decoded
   */
  private ResponseRateLimiter.Verdict limit(
      Query query, ResponseRateLimiter.ResponseKind kind, Source source) {
    if (!source.datagram || (query != null && hasValidCookie(query, source))) {
      return ResponseRateLimiter.Verdict.SEND;
    }
    return rateLimiter.check(source.sender, kind, source.now);
  }

  private boolean hasValidCookie(Query query, Source source) {
    CookieOption cookie = query.cookie();
    if (cookie == null || cookie.getServerCookie().isEmpty()) {
      return false;
    }
    boolean valid =
        cookies.isValid(
            cookie.getClientCookie(),
            cookie.getServerCookie().get(),
            source.sender,
            source.wallTime);
    counters.increment(
        valid ? QueryCounters.Event.COOKIE_VALID : QueryCounters.Event.COOKIE_INVALID);
    return valid;
  }

  /** Replies with nothing, or with a truncated response that offers TCP and a cookie. */
  private Reply replyToLimited(ResponseRateLimiter.Verdict verdict, Query query, Source source) {
    boolean slipped = verdict == ResponseRateLimiter.Verdict.SLIP;
    counters.increment(slipped ? QueryCounters.Event.SLIPPED : QueryCounters.Event.RATE_LIMITED);
    if (!slipped || query == null) {
      return SILENCE;
    }
    ResponseDraft draft = new ResponseDraft(query, source.sender, Duration.ZERO);
    return new Send(encoder.encodeTruncated(draft, source.wallTime));
  }
}
