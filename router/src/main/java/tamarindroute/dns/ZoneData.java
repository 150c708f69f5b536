package tamarindroute.dns;

import java.io.IOException;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.xbill.DNS.Name;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SetResponse;
import org.xbill.DNS.Type;
import org.xbill.DNS.Zone;

/** The records of one authoritative zone, without steered names. Immutable. */
public final class ZoneData {

  private final Zone zone;

  /** All names with records and those above them, which dnsjava reports as nonexistent. */
  private final Set<Name> existingNames = new HashSet<>();

  /**
   * Creates a zone.
   *
   * @throws IOException if SOA or NS records are missing at the origin, or a record lies outside of
   *     the zone or is a DNAME, which is not supported
   */
  public ZoneData(Name origin, List<Record> records) throws IOException {
    for (Record record : records) {
      if (!record.getName().subdomain(origin)) {
        throw new IOException(record.getName() + " is not in the zone " + origin);
      }
      if (record.getType() == Type.DNAME) {
        throw new IOException("DNAME records are not supported: " + record.getName());
      }
    }
    zone = new Zone(origin, records.toArray(new Record[0]));
    for (Record record : records) {
      for (Name above = record.getName();
          above.labels() > origin.labels();
          above = new Name(above, 1)) {
        existingNames.add(above);
      }
    }
  }

  /** Returns the name of the zone. */
  public Name origin() {
    return zone.getOrigin();
  }

  /** Returns the SOA record. */
  public SOARecord soa() {
    return zone.getSOA();
  }

  /** Returns what the records say to a question. */
  public SetResponse find(Name name, int type) {
    return zone.findRecords(name, type);
  }

  /** Returns whether a name exists, be it as an empty non-terminal. */
  public boolean exists(Name name) {
    return existingNames.contains(name);
  }

  /** Returns whether there are records at exactly this name, not by a wildcard. */
  public boolean hasRecordsAt(Name name) {
    for (Iterator<RRset> sets = zone.iterator(); sets.hasNext(); ) {
      if (sets.next().getName().equals(name)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the records at exactly this name of this type. */
  public Optional<RRset> exactMatch(Name name, int type) {
    return Optional.ofNullable(zone.findExactMatch(name, type));
  }
}
