package tamarindroute.dns;

import java.net.InetAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.HINFORecord;
import org.xbill.DNS.HTTPSRecord;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.NameTooLongException;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.SVCBBase;
import org.xbill.DNS.Section;
import org.xbill.DNS.SetResponse;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import tamarindroute.dns.DnsSettings.CacheAddress;
import tamarindroute.dns.DnsSettings.ForwardedZone;

/**
 * Owns what is answered to a query's bytes: from the zones as written, from steering, or by handing
 * it on. It must never choose a cache itself, and never let a query cost more than its own answer.
 */
public final class Responder {

  /** What is done with a query. */
  public sealed interface Reply {}

  /** This is sent back. */
  public record Send(byte[] bytes) implements Reply {}

  /** Nothing is said. */
  public record Silence() implements Reply {}

  /** Another installation's router is asked; what it says goes through handedBack. */
  public record Forward(ForwardedZone zone, Record question, PendingQuery pending)
      implements Reply {}

  /** A query that waits for another's answer. */
  public static final class PendingQuery {
    private final Query query;
    private final InetAddress asker;
    private final boolean datagram;

    private PendingQuery(Query query, InetAddress asker, boolean datagram) {
      this.query = query;
      this.asker = asker;
      this.datagram = datagram;
    }
  }

  private static final Reply SILENCE = new Silence();

  /** What every resolver takes without EDNS, and the least with it (RFC 6891). */
  private static final int PLAIN = 512;

  /** A chain of aliases longer than this is a mistake in the zone. */
  private static final int MOST_ALIASES = 8;

  /** RFC 8482: ANY is answered with one small record, kept long, for nobody needs it. */
  private static final int ANY_TTL = 3600;

  /** RFC 8914. */
  private static final int EDE_STALE = 3;

  private static final int EDE_OTHER = 0;
  private static final int EDE_NOT_READY = 14;
  private static final int EDE_NOT_AUTHORITATIVE = 20;
  private static final int EDE_NO_AUTHORITY = 22;

  private final DnsSettings settings;
  private final Steering steering;
  private final SteeredNames names;
  private final QueryCounters counters;
  private final ServerCookies cookies;
  private final ResponseRateLimiter limit;
  private final Map<SteeringDecision.Reason, Long> reasons =
      new EnumMap<>(SteeringDecision.Reason.class);

  /**
   * The cookies, limit and tally outlast a change of the settings where those of them have not
   * changed.
   */
  public Responder(
      DnsSettings settings,
      Steering steering,
      ServerCookies cookies,
      ResponseRateLimiter limit,
      QueryCounters counters) {
    this.settings = settings;
    this.steering = steering;
    this.names = settings.steering() == null ? null : new SteeredNames(settings.steering());
    this.cookies = cookies;
    this.limit = limit;
    this.counters = counters;
  }

  /** How often each reason decided so far. */
  public Map<SteeringDecision.Reason, Long> reasons() {
    return Map.copyOf(reasons);
  }

  /** An answer under way. */
  private final class Draft {
    final Message message;
    final Query query;
    final InetAddress asker;
    final Duration now;
    int code = Rcode.NOERROR;
    int scope;
    ExtendedErrorCodeOption told;
    ForwardedZone handOn;

    Draft(Query query, InetAddress asker, Duration now) {
      this.query = query;
      this.asker = asker;
      this.now = now;
      message = new Message(query.message().getHeader().getID());
      Header header = message.getHeader();
      header.setFlag(Flags.QR);
      if (query.message().getHeader().getFlag(Flags.RD)) {
        header.setFlag(Flags.RD);
      }
      message.addRecord(query.question(), Section.QUESTION);
    }

    void answer(Record record) {
      message.addRecord(record, Section.ANSWER);
    }

    void fail(int rcode, int ede, String text) {
      code = rcode;
      told = new ExtendedErrorCodeOption(ede, text);
    }
  }

  public Reply answer(
      byte[] bytes, InetAddress asker, boolean datagram, Duration now, Instant wall) {
    counters.increment(QueryCounters.Event.QUERY);
    Query query;
    try {
      query = Query.read(bytes);
    } catch (Query.InvalidQueryException e) {
      counters.increment(QueryCounters.Event.MALFORMED);
      return e.rcode == Query.InvalidQueryException.NO_REPLY
          ? SILENCE
          : limited(
              header(bytes, e.rcode),
              null,
              asker,
              datagram,
              ResponseRateLimiter.ResponseKind.ERROR,
              now,
              wall);
    }
    Draft draft = new Draft(query, asker, now);
    try {
      fill(draft);
    } catch (RuntimeException e) {
      // A defect must cost one query, which still gets its answer.
      draft.message.removeAllRecords(Section.ANSWER);
      draft.message.removeAllRecords(Section.AUTHORITY);
      draft.message.removeAllRecords(Section.ADDITIONAL);
      draft.fail(Rcode.SERVFAIL, EDE_OTHER, "a defect");
      tamarindroute.log.Log.defect(e);
    }
    if (draft.handOn != null) {
      ResponseRateLimiter.Verdict verdict =
          verdict(query, asker, datagram, ResponseRateLimiter.ResponseKind.ANSWER, now, wall);
      if (verdict != ResponseRateLimiter.Verdict.SEND) {
        return held(verdict, query, asker, wall);
      }
      counters.increment(QueryCounters.Event.FORWARDED);
      return new Forward(draft.handOn, query.question(), new PendingQuery(query, asker, datagram));
    }
    return finish(draft, datagram, now, wall);
  }

  /**
   * What another's router said to a query that was handed on; null where nothing could be had in
   * time.
   */
  public Reply onForwardedAnswer(
      PendingQuery pending, Message said, boolean stale, Duration now, Instant wall) {
    Draft draft = new Draft(pending.query, pending.asker, now);
    if (said == null) {
      draft.fail(Rcode.SERVFAIL, EDE_NO_AUTHORITY, "the zone's own router does not answer");
    } else {
      draft.code = said.getHeader().getRcode();
      // The answer's names are the asker's: those that equal its question take its spelling.
      Name asked = pending.query.question().getName();
      for (int section : new int[] {Section.ANSWER, Section.AUTHORITY}) {
        for (Record record : said.getSection(section)) {
          draft.message.addRecord(spelled(record, asked), section);
        }
      }
      if (stale) {
        draft.told =
            new ExtendedErrorCodeOption(EDE_STALE, "the zone's own router does not answer");
        counters.increment(QueryCounters.Event.STALE);
      }
    }
    draft.message.getHeader().setFlag(Flags.RA);
    // Its place in the limit was taken when it was handed on.
    return new Send(written(draft, pending.datagram, wall));
  }

  /** The record in the asker's spelling of its name, where it is of that name. */
  private static Record spelled(Record record, Name asked) {
    return !record.getName().equals(asked)
        ? record
        : Record.newRecord(
            asked,
            record.getType(),
            record.getDClass(),
            record.getTTL(),
            record.rdataToWireCanonical());
  }

  private void fill(Draft draft) {
    Record question = draft.query.question();
    if (draft.query.edns() != null && draft.query.edns().getVersion() > 0) {
      draft.code = Rcode.BADVERS;
      return;
    }
    if (question.getDClass() == DClass.CH) {
      identity(draft);
      return;
    }
    if (question.getDClass() != DClass.IN && question.getDClass() != DClass.ANY
        || !Type.isRR(question.getType()) && question.getType() != Type.ANY) {
      draft.fail(Rcode.REFUSED, EDE_OTHER, "no such class or type is served");
      return;
    }
    Name name = question.getName();
    for (ForwardedZone zone : settings.forwardedZones()) {
      if (name.subdomain(zone.zone())) {
        draft.handOn = zone;
        return;
      }
    }
    resolve(draft, name, 0);
  }

  /** Who we are is said only where the settings say so. */
  private void identity(Draft draft) {
    Record question = draft.query.question();
    String name = question.getName().toString(true).toLowerCase(java.util.Locale.ROOT);
    if (settings.identity() == null
        || question.getType() != Type.TXT
        || !name.equals("id.server") && !name.equals("hostname.bind")) {
      draft.fail(Rcode.REFUSED, EDE_OTHER, "not told");
      return;
    }
    draft.answer(new TXTRecord(question.getName(), DClass.CH, 0, settings.identity()));
  }

  private ZoneData zoneOf(Name name) {
    ZoneData best = null;
    for (ZoneData zone : settings.zones()) {
      if (name.subdomain(zone.origin())
          && (best == null || zone.origin().labels() > best.origin().labels())) {
        best = zone;
      }
    }
    return best;
  }

  /** Answers for this name, which is the question's or where an alias led to. */
  private void resolve(Draft draft, Name name, int aliases) {
    ZoneData zone = zoneOf(name);
    if (zone == null) {
      if (aliases == 0) {
        draft.fail(Rcode.REFUSED, EDE_NOT_AUTHORITATIVE, "not one of this server's zones");
      }
      return;
    }
    draft.message.getHeader().setFlag(Flags.AA);
    int type = draft.query.question().getType();
    SteeredNames.Match found =
        names == null || !settings.steering().origin().equals(zone.origin())
            ? new SteeredNames.NoMatch()
            : names.match(
                name,
                draft.query.clientAddress(draft.asker),
                draft.query.knownClientBits(draft.asker));
    if (found instanceof SteeredNames.SteeredName steered) {
      draft.scope = steered.scope();
      if (type == Type.ANY) {
        minimal(draft, name);
      } else {
        steer(draft, name, steered, zone);
      }
      return;
    }
    if (found instanceof SteeredNames.EmptyNonTerminal) {
      negative(draft, zone, null);
      return;
    }
    if (type == Type.ANY
        && !zone.find(name, Type.ANY).isNXDOMAIN()
        && !zone.find(name, Type.ANY).isDelegation()) {
      minimal(draft, name);
      return;
    }
    written(draft, name, aliases, zone, zone.find(name, type));
  }

  private void minimal(Draft draft, Name name) {
    draft.answer(new HINFORecord(name, DClass.IN, ANY_TTL, "RFC8482", ""));
  }

  /** What the zone's own records say. */
  private void written(Draft draft, Name name, int aliases, ZoneData zone, SetResponse said) {
    if (said.isSuccessful()) {
      for (RRset set : said.answers()) {
        set.rrs().forEach(record -> draft.answer(spelled(record, name)));
      }
    } else if (said.isCNAME()) {
      draft.answer(said.getCNAME());
      if (aliases < MOST_ALIASES) {
        resolve(draft, said.getCNAME().getTarget(), aliases + 1);
      } else {
        draft.fail(Rcode.SERVFAIL, EDE_OTHER, "too many aliases");
      }
    } else if (said.isDelegation()) {
      draft.message.getHeader().unsetFlag(Flags.AA);
      said.getNS()
          .rrs()
          .forEach(
              record -> {
                draft.message.addRecord(record, Section.AUTHORITY);
                glue(draft, zone, ((org.xbill.DNS.NSRecord) record).getTarget());
              });
    } else {
      if (said.isNXDOMAIN() && !zone.exists(name)) {
        draft.code = Rcode.NXDOMAIN;
      }
      negative(draft, zone, null);
    }
  }

  private static void glue(Draft draft, ZoneData zone, Name host) {
    for (int type : new int[] {Type.A, Type.AAAA}) {
      RRset set = host.subdomain(zone.origin()) ? zone.exactMatch(host, type) : null;
      if (set != null) {
        set.rrs().forEach(record -> draft.message.addRecord(record, Section.ADDITIONAL));
      }
    }
  }

  /** Nothing here: how long that may be kept says the SOA (RFC 2308), or less where it is told. */
  private static void negative(Draft draft, ZoneData zone, Duration most) {
    SOARecord soa = zone.soa();
    long ttl = Math.min(soa.getTTL(), soa.getMinimum());
    ttl = most == null ? ttl : Math.min(ttl, most.toSeconds());
    draft.message.addRecord(
        new SOARecord(
            soa.getName(),
            soa.getDClass(),
            ttl,
            soa.getHost(),
            soa.getAdmin(),
            soa.getSerial(),
            soa.getRefresh(),
            soa.getRetry(),
            soa.getExpire(),
            soa.getMinimum()),
        Section.AUTHORITY);
  }

  private void steer(Draft draft, Name name, SteeredNames.SteeredName steered, ZoneData zone) {
    int type = draft.query.question().getType();
    Predicate<CacheAddress> fits =
        switch (type) {
          case Type.A -> address -> address.host().getAddress().length == 4 && !steered.service();
          case Type.AAAA ->
              address -> address.host().getAddress().length == 16 && !steered.service();
          case Type.SRV -> address -> steered.service();
          case Type.HTTPS ->
              address -> !steered.service() && !(steered.target() instanceof SteeringTarget.ById);
          default -> address -> false;
        };
    SteeringDecision choice =
        steering.choose(steered.target(), steered.loadPerAnswer(), fits, draft.now);
    reasons.merge(choice.reason(), 1L, Long::sum);
    if (choice.reason().isUnanswered()) {
      draft.fail(
          Rcode.SERVFAIL,
          choice.reason() == SteeringDecision.Reason.NO_LIST ? EDE_NOT_READY : EDE_NO_AUTHORITY,
          choice.reason().text());
      draft.message.getHeader().unsetFlag(Flags.AA);
      return;
    }
    if (choice.addresses().isEmpty()) {
      if (choice.reason() == SteeringDecision.Reason.NO_SUCH_CACHE) {
        draft.code = Rcode.NXDOMAIN;
      }
      negative(draft, zone, choice.ttl());
      return;
    }
    if (choice.reason().isLastResort()) {
      counters.increment(QueryCounters.Event.LAST_RESORT);
      draft.told =
          new ExtendedErrorCodeOption(
              choice.reason() == SteeringDecision.Reason.LAST_KNOWN ? EDE_STALE : EDE_OTHER,
              choice.reason().text());
    }
    long ttl = choice.ttl().toSeconds();
    for (CacheAddress address : choice.addresses()) {
      records(draft, name, type, address, ttl);
    }
  }

  private void records(Draft draft, Name name, int type, CacheAddress address, long ttl) {
    switch (type) {
      case Type.A -> draft.answer(new ARecord(name, DClass.IN, ttl, address.host()));
      case Type.AAAA -> draft.answer(new AAAARecord(name, DClass.IN, ttl, address.host()));
      case Type.SRV -> {
        Name target = nameOf(address);
        draft.answer(new SRVRecord(name, DClass.IN, ttl, 0, 1, address.port(), target));
        draft.message.addRecord(
            address.host().getAddress().length == 4
                ? new ARecord(target, DClass.IN, ttl, address.host())
                : new AAAARecord(target, DClass.IN, ttl, address.host()),
            Section.ADDITIONAL);
      }
      default -> {
        List<SVCBBase.ParameterBase> parameters = new ArrayList<>();
        parameters.add(new SVCBBase.ParameterPort(address.port()));
        parameters.add(
            address.host() instanceof java.net.Inet4Address four
                ? new SVCBBase.ParameterIpv4Hint(List.of(four))
                : new SVCBBase.ParameterIpv6Hint(List.of((java.net.Inet6Address) address.host())));
        draft.answer(new HTTPSRecord(name, DClass.IN, ttl, 1, Name.root, parameters));
      }
    }
  }

  private Name nameOf(CacheAddress address) {
    try {
      return Name.concatenate(
          Name.fromString(address.id() + "." + settings.steering().cachesLabel()),
          settings.steering().origin());
    } catch (TextParseException | NameTooLongException e) {
      throw new IllegalStateException("an id that makes no name: " + address.id(), e);
    }
  }

  /** Writes the answer and holds it to its network's limit. */
  private Reply finish(Draft draft, boolean datagram, Duration now, Instant wall) {
    byte[] bytes = written(draft, datagram, wall);
    ResponseRateLimiter.ResponseKind sort =
        draft.code == Rcode.NOERROR
            ? ResponseRateLimiter.ResponseKind.ANSWER
            : draft.code == Rcode.NXDOMAIN
                ? ResponseRateLimiter.ResponseKind.NXDOMAIN
                : ResponseRateLimiter.ResponseKind.ERROR;
    return limited(bytes, draft.query, draft.asker, datagram, sort, now, wall);
  }

  /** Sets the code and the options, counts the answer, and writes it within its size. */
  private byte[] written(Draft draft, boolean datagram, Instant wall) {
    Message message = draft.message;
    message.getHeader().setRcode(draft.code & 0xF);
    counters.increment(
        switch (draft.code) {
          case Rcode.NOERROR ->
              message.getSection(Section.ANSWER).isEmpty()
                      && message.getSection(Section.AUTHORITY).stream()
                          .anyMatch(r -> r.getType() == Type.SOA)
                  ? QueryCounters.Event.NO_DATA
                  : QueryCounters.Event.ANSWERED;
          case Rcode.NXDOMAIN -> QueryCounters.Event.NXDOMAIN;
          case Rcode.REFUSED -> QueryCounters.Event.REFUSED;
          default -> QueryCounters.Event.FAILED;
        });
    OPTRecord edns = edns(draft, wall);
    if (edns != null) {
      message.addRecord(edns, Section.ADDITIONAL);
    }
    int most =
        !datagram
            ? Message.MAXLENGTH
            : draft.query.edns() == null
                ? PLAIN
                : Math.max(
                    PLAIN,
                    Math.min(
                        draft.query.edns().getPayloadSize(), settings.limits().maxDatagramBytes()));
    byte[] bytes = message.toWire(most);
    if ((bytes[2] & 0x02) != 0) {
      counters.increment(QueryCounters.Event.TRUNCATED);
    }
    return bytes;
  }

  private OPTRecord edns(Draft draft, Instant wall) {
    if (draft.query.edns() == null) {
      return null;
    }
    List<EDNSOption> options = new ArrayList<>();
    ClientSubnetOption subnet = draft.query.subnet();
    if (subnet != null) {
      int scope = subnet.getSourcePrefixLength() == 0 ? 0 : draft.scope;
      options.add(
          new ClientSubnetOption(subnet.getSourcePrefixLength(), scope, subnet.getAddress()));
    }
    if (draft.query.cookie() != null) {
      byte[] client = draft.query.cookie().getClientCookie();
      options.add(new CookieOption(client, cookies.make(client, draft.asker, wall)));
    }
    if (draft.told != null) {
      options.add(draft.told);
    }
    return new OPTRecord(
        settings.limits().maxDatagramBytes(),
        draft.code >> 4,
        0,
        draft.query.edns().getFlags() & 0x8000,
        options);
  }

  private ResponseRateLimiter.Verdict verdict(
      Query query,
      InetAddress asker,
      boolean datagram,
      ResponseRateLimiter.ResponseKind sort,
      Duration now,
      Instant wall) {
    // A connection, as a cookie of ours, proves the address: nobody else is hit by what is sent
    // there.
    if (!datagram) {
      return ResponseRateLimiter.Verdict.SEND;
    }
    CookieOption cookie = query == null ? null : query.cookie();
    if (cookie != null && cookie.getServerCookie().isPresent()) {
      boolean good =
          cookies.isValid(cookie.getClientCookie(), cookie.getServerCookie().get(), asker, wall);
      counters.increment(
          good ? QueryCounters.Event.COOKIE_VALID : QueryCounters.Event.COOKIE_INVALID);
      if (good) {
        return ResponseRateLimiter.Verdict.SEND;
      }
    }
    return limit.check(asker, sort, now);
  }

  private Reply limited(
      byte[] bytes,
      Query query,
      InetAddress asker,
      boolean datagram,
      ResponseRateLimiter.ResponseKind sort,
      Duration now,
      Instant wall) {
    ResponseRateLimiter.Verdict verdict = verdict(query, asker, datagram, sort, now, wall);
    return verdict == ResponseRateLimiter.Verdict.SEND
        ? new Send(bytes)
        : held(verdict, query, asker, wall);
  }

  /**
   * Held back: nothing, or now and then a short invitation to TCP, or the cookie that lets a client
   * through.
   */
  private Reply held(
      ResponseRateLimiter.Verdict verdict, Query query, InetAddress asker, Instant wall) {
    counters.increment(
        verdict == ResponseRateLimiter.Verdict.SLIP
            ? QueryCounters.Event.SLIPPED
            : QueryCounters.Event.RATE_LIMITED);
    if (verdict == ResponseRateLimiter.Verdict.DROP || query == null) {
      return SILENCE;
    }
    Draft draft = new Draft(query, asker, Duration.ZERO);
    draft.message.getHeader().setFlag(Flags.TC);
    OPTRecord edns = edns(draft, wall);
    if (edns != null) {
      draft.message.addRecord(edns, Section.ADDITIONAL);
    }
    return new Send(draft.message.toWire(PLAIN));
  }

  /** An answer of a header alone, for what could not be read. */
  private static byte[] header(byte[] query, int code) {
    byte[] bytes = new byte[12];
    bytes[0] = query[0];
    bytes[1] = query[1];
    bytes[2] = (byte) (0x80 | query[2] & 0x79);
    bytes[3] = (byte) code;
    return bytes;
  }
}
