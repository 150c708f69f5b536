package tamarindroute.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.xbill.DNS.Master;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import tamarindroute.dns.ZoneData;

/** Reads zone files in the master format of RFC 1035, without includes. */
final class ZoneFileReader {

  private static final long MAX_ZONE_FILE_BYTES = 16 << 20;

  private final FaultCollector faults;

  ZoneFileReader(FaultCollector faults) {
    this.faults = faults;
  }

  /** Reads the file that a {@code zone} element names; empty after adding a fault. */
  Optional<ZoneData> read(XmlElement zone, Name origin) {
    Path path = faults.resolve(zone.attribute("file"));
    try {
      if (Files.size(path) > MAX_ZONE_FILE_BYTES) {
        faults.add(zone, path + " is larger than " + MAX_ZONE_FILE_BYTES + " bytes");
        return Optional.empty();
      }
      return Optional.of(new ZoneData(origin, readRecords(path, origin)));
    } catch (IOException | RuntimeException e) {
      // The message of dnsjava gives the line in the zone file.
      faults.add(zone, path + ": " + e.getMessage());
      return Optional.empty();
    }
  }

  private static List<Record> readRecords(Path path, Name origin) throws IOException {
    List<Record> records = new ArrayList<>();
    try (InputStream in = Files.newInputStream(path);
        Master master = new Master(in, origin)) {
      master.disableIncludes(true);
      for (Record record = master.nextRecord(); record != null; record = master.nextRecord()) {
        records.add(record);
      }
    }
    return records;
  }
}
