package tamarindroute.dns;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.HINFORecord;
import org.xbill.DNS.NSRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.SetResponse;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** Fills responses from the zones that this server is authoritative for, and from steering. */
final class AuthoritativeAnswers {

  private static final int MAX_ALIASES = 8;

  /** TTL in seconds of the minimal answer to ANY (RFC 8482). */
  private static final int ANY_TTL_SECONDS = 3600;

  /** Names in class CHAOS under which servers give their identity (RFC 4892). */
  private static final Set<String> IDENTITY_NAMES = Set.of("id.server", "hostname.bind");

  private final List<ZoneData> zones;
  private final String identity;
  private final DnsSettings.SteeringSettings steeringSettings;
  private final SteeredNames steeredNames;
  private final SteeredAnswers steeredAnswers;

  /**
   * Creates answers from these settings.
   *
   * @param steeredAnswers null if the settings have no steered names
   */
  AuthoritativeAnswers(DnsSettings settings, SteeredAnswers steeredAnswers) {
    this.zones = settings.zones();
    this.identity = settings.identity();
    this.steeringSettings = settings.steering();
    this.steeredNames = steeringSettings == null ? null : new SteeredNames(steeringSettings);
    this.steeredAnswers = steeredAnswers;
  }

  /** Answers a question of class IN or ANY. */
  void answer(ResponseDraft draft) {
    resolve(draft, draft.query().question().getName(), 0);
  }

  /** Answers a question of class CHAOS with this server's identity, if the settings give one. */
  void answerIdentity(ResponseDraft draft) {
    Record question = draft.query().question();
    String name = question.getName().toString(true).toLowerCase(Locale.ROOT);
    if (identity == null || question.getType() != Type.TXT || !IDENTITY_NAMES.contains(name)) {
      draft.fail(Rcode.REFUSED, ResponseDraft.EDE_OTHER, "not told");
      return;
    }
    draft.addAnswer(new TXTRecord(question.getName(), DClass.CH, 0, identity));
  }

  /** Answers for a name, which is the question's or the target of an alias. */
  private void resolve(ResponseDraft draft, Name name, int aliasCount) {
    Optional<ZoneData> closestZone = closestZone(name);
    if (closestZone.isEmpty()) {
      if (aliasCount == 0) {
        draft.fail(
            Rcode.REFUSED, ResponseDraft.EDE_NOT_AUTHORITATIVE, "not one of this server's zones");
      }
      return;
    }
    ZoneData zone = closestZone.get();
    draft.message().getHeader().setFlag(Flags.AA);
    int type = draft.query().question().getType();
    SteeredNames.Match match = matchSteered(draft, name, zone);
    if (match instanceof SteeredNames.SteeredName steered) {
      draft.setSubnetScope(steered.scope());
      if (type == Type.ANY) {
        addMinimal(draft, name);
      } else {
        steeredAnswers.answer(draft, name, steered, zone);
      }
    } else if (match instanceof SteeredNames.EmptyNonTerminal) {
      draft.addNegative(zone, null);
    } else if (type == Type.ANY && holdsName(zone, name)) {
      addMinimal(draft, name);
    } else {
      addZoneRecords(draft, name, aliasCount, zone, zone.find(name, type));
    }
  }

  private Optional<ZoneData> closestZone(Name name) {
    ZoneData closest = null;
    for (ZoneData zone : zones) {
      if (name.subdomain(zone.origin())
          && (closest == null || zone.origin().labels() > closest.origin().labels())) {
        closest = zone;
      }
    }
    return Optional.ofNullable(closest);
  }

  private SteeredNames.Match matchSteered(ResponseDraft draft, Name name, ZoneData zone) {
    if (steeringSettings == null || !steeringSettings.origin().equals(zone.origin())) {
      return new SteeredNames.NoMatch();
    }
    Query query = draft.query();
    return steeredNames.match(
        name, query.clientAddress(draft.sender()), query.knownClientBits(draft.sender()));
  }

  private static boolean holdsName(ZoneData zone, Name name) {
    SetResponse found = zone.find(name, Type.ANY);
    return !found.isNXDOMAIN() && !found.isDelegation();
  }

  private static void addMinimal(ResponseDraft draft, Name name) {
    draft.addAnswer(new HINFORecord(name, DClass.IN, ANY_TTL_SECONDS, "RFC8482", ""));
  }

  private void addZoneRecords(
      ResponseDraft draft, Name name, int aliasCount, ZoneData zone, SetResponse found) {
    if (found.isSuccessful()) {
      for (RRset set : found.answers()) {
        set.rrs().forEach(record -> draft.addAnswer(withSpelling(record, name)));
      }
    } else if (found.isCNAME()) {
      draft.addAnswer(found.getCNAME());
      if (aliasCount < MAX_ALIASES) {
        resolve(draft, found.getCNAME().getTarget(), aliasCount + 1);
      } else {
        draft.fail(Rcode.SERVFAIL, ResponseDraft.EDE_OTHER, "too many aliases");
      }
    } else if (found.isDelegation()) {
      addReferral(draft, zone, found);
    } else {
      if (found.isNXDOMAIN() && !zone.exists(name)) {
        draft.setRcode(Rcode.NXDOMAIN);
      }
      draft.addNegative(zone, null);
    }
  }

  private static void addReferral(ResponseDraft draft, ZoneData zone, SetResponse delegation) {
    draft.message().getHeader().unsetFlag(Flags.AA);
    for (Record record : delegation.getNS().rrs()) {
      draft.message().addRecord(record, Section.AUTHORITY);
      addGlue(draft, zone, ((NSRecord) record).getTarget());
    }
  }

  private static void addGlue(ResponseDraft draft, ZoneData zone, Name host) {
    if (!host.subdomain(zone.origin())) {
      return;
    }
    for (int type : new int[] {Type.A, Type.AAAA}) {
      zone.exactMatch(host, type)
          .ifPresent(
              set ->
                  set.rrs()
                      .forEach(record -> draft.message().addRecord(record, Section.ADDITIONAL)));
    }
  }

  /** Returns a record whose owner name, if equal to a name, is spelled like that name. */
  static Record withSpelling(Record record, Name name) {
    return !record.getName().equals(name)
        ? record
        : Record.newRecord(
            name,
            record.getType(),
            record.getDClass(),
            record.getTTL(),
            record.rdataToWireCanonical());
  }
}
