package tamarindroute.dns;

import java.net.Inet4Address;
import java.net.Inet6Address;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.HTTPSRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.NameTooLongException;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.SVCBBase;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import tamarindroute.dns.DnsSettings.CacheAddress;

/** Fills responses for steered names with the records of the caches that steering chooses. */
final class SteeredAnswers {

  private static final int IPV4_LENGTH = 4;

  private static final int SRV_PRIORITY = 0;
  private static final int SRV_WEIGHT = 1;
  private static final int HTTPS_PRIORITY = 1;

  private final DnsSettings.SteeringSettings settings;
  private final Steering steering;
  private final QueryCounters counters;
  private final Map<SteeringDecision.Reason, Long> reasonCounts =
      new EnumMap<>(SteeringDecision.Reason.class);

  SteeredAnswers(DnsSettings.SteeringSettings settings, Steering steering, QueryCounters counters) {
    this.settings = settings;
    this.steering = steering;
    this.counters = counters;
  }

  /** Returns how often each reason decided. */
  Map<SteeringDecision.Reason, Long> reasonCounts() {
    return Map.copyOf(reasonCounts);
  }

  /** Answers a steered name, which is the question's or the target of an alias. */
  void answer(ResponseDraft draft, Name name, SteeredNames.SteeredName steered, ZoneData zone) {
    int type = draft.query().question().getType();
    SteeringDecision decision =
        steering.choose(
            steered.target(), steered.loadPerAnswer(), addressFilter(type, steered), draft.now());
    SteeringDecision.Reason reason = decision.reason();
    reasonCounts.merge(reason, 1L, Long::sum);
    if (reason.isUnanswered()) {
      failUnanswered(draft, reason);
      return;
    }
    if (decision.addresses().isEmpty()) {
      if (reason == SteeringDecision.Reason.NO_SUCH_CACHE) {
        draft.setRcode(Rcode.NXDOMAIN);
      }
      draft.addNegative(zone, decision.ttl());
      return;
    }
    if (reason.isLastResort()) {
      markLastResort(draft, reason);
    }
    long ttlSeconds = decision.ttl().toSeconds();
    for (CacheAddress address : decision.addresses()) {
      addRecords(draft, name, type, address, ttlSeconds);
    }
  }

  /** Returns which addresses a question of this type can be answered with. */
  private static Predicate<CacheAddress> addressFilter(int type, SteeredNames.SteeredName steered) {
    return switch (type) {
      case Type.A -> address -> isIpv4(address) && !steered.service();
      case Type.AAAA -> address -> !isIpv4(address) && !steered.service();
      case Type.SRV -> address -> steered.service();
      case Type.HTTPS ->
          address -> !steered.service() && !(steered.target() instanceof SteeringTarget.ById);
      default -> address -> false;
    };
  }

  private static boolean isIpv4(CacheAddress address) {
    return address.host().getAddress().length == IPV4_LENGTH;
  }

  private static void failUnanswered(ResponseDraft draft, SteeringDecision.Reason reason) {
    int extendedError =
        reason == SteeringDecision.Reason.NO_LIST
            ? ResponseDraft.EDE_NOT_READY
            : ResponseDraft.EDE_NO_REACHABLE_AUTHORITY;
    draft.fail(Rcode.SERVFAIL, extendedError, reason.text());
    draft.message().getHeader().unsetFlag(Flags.AA);
  }

  private void markLastResort(ResponseDraft draft, SteeringDecision.Reason reason) {
    counters.increment(QueryCounters.Event.LAST_RESORT);
    int extendedError =
        reason == SteeringDecision.Reason.LAST_KNOWN
            ? ResponseDraft.EDE_STALE_ANSWER
            : ResponseDraft.EDE_OTHER;
    draft.setExtendedError(extendedError, reason.text());
  }

  private void addRecords(
      ResponseDraft draft, Name name, int type, CacheAddress address, long ttl) {
    switch (type) {
      case Type.A, Type.AAAA -> draft.addAnswer(addressRecord(name, address, ttl));
      case Type.SRV -> {
        Name target = nameOf(address);
        draft.addAnswer(
            new SRVRecord(name, DClass.IN, ttl, SRV_PRIORITY, SRV_WEIGHT, address.port(), target));
        draft.message().addRecord(addressRecord(target, address, ttl), Section.ADDITIONAL);
      }
      default -> draft.addAnswer(httpsRecord(name, address, ttl));
    }
  }

  private static Record addressRecord(Name name, CacheAddress address, long ttl) {
    return isIpv4(address)
        ? new ARecord(name, DClass.IN, ttl, address.host())
        : new AAAARecord(name, DClass.IN, ttl, address.host());
  }

  private static Record httpsRecord(Name name, CacheAddress address, long ttl) {
    SVCBBase.ParameterBase addressHint =
        address.host() instanceof Inet4Address ipv4
            ? new SVCBBase.ParameterIpv4Hint(List.of(ipv4))
            : new SVCBBase.ParameterIpv6Hint(List.of((Inet6Address) address.host()));
    List<SVCBBase.ParameterBase> parameters =
        List.of(new SVCBBase.ParameterPort(address.port()), addressHint);
    return new HTTPSRecord(name, DClass.IN, ttl, HTTPS_PRIORITY, Name.root, parameters);
  }

  /** Returns the name under which this server answers the address of one cache. */
  private Name nameOf(CacheAddress address) {
    try {
      return Name.concatenate(
          Name.fromString(address.id() + "." + settings.cachesLabel()), settings.origin());
    } catch (TextParseException | NameTooLongException e) {
      throw new IllegalStateException(
          "the cache id \"" + address.id() + "\" does not form a domain name", e);
    }
  }
}
