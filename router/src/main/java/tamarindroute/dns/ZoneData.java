package tamarindroute.dns;

import java.io.IOException;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.xbill.DNS.Name;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SetResponse;
import org.xbill.DNS.Type;
import org.xbill.DNS.Zone;

/**
 * The records of one zone that stand as they are written. Immutable; a new version is a new value.
 */
public final class ZoneData {

  private final Zone zone;

  /**
   * Names without records of their own, but with others below: they are there, which dnsjava's Zone
   * denies.
   */
  private final Set<Name> existingNames = new HashSet<>();

  /**
   * Throws where the records make no zone: no SOA or NS at the origin, or records outside of it.
   */
  public ZoneData(Name origin, List<Record> records) throws IOException {
    for (Record record : records) {
      if (!record.getName().subdomain(origin)) {
        throw new IOException(record.getName() + " is not in " + origin);
      }
      if (record.getType() == Type.DNAME) {
        throw new IOException("DNAME records are not answered: " + record.getName());
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

  public Name origin() {
    return zone.getOrigin();
  }

  public SOARecord soa() {
    return zone.getSOA();
  }

  /** What answers a question after these records alone. */
  public SetResponse find(Name name, int type) {
    return zone.findRecords(name, type);
  }

  /** Whether this name is there, if only for names below it. */
  public boolean exists(Name name) {
    return existingNames.contains(name);
  }

  /** Whether records stand at this very name, not by a wildcard. */
  public boolean hasRecordsAt(Name name) {
    for (Iterator<RRset> sets = zone.iterator(); sets.hasNext(); ) {
      if (sets.next().getName().equals(name)) {
        return true;
      }
    }
    return false;
  }

  /** The records under this name of this type; null for none. */
  public RRset exactMatch(Name name, int type) {
    return zone.findExactMatch(name, type);
  }
}
