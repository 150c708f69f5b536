package tamarindroute.agreement.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Pins the bytes of the record log: length, its checksum, the body's checksum, body, end mark.
 * Guards against a changed format, with which a voter could not read the store of an earlier
 * version.
 */
class RecordLogFormatTest {

  private static final HexFormat HEX = HexFormat.of();
  private static final List<byte[]> BODIES =
      List.of(new byte[] {1}, new byte[] {0, -1, 7, 0}, new byte[300]);
  private static final String FIRST = "000000012c7ef64fdf38c6de015a";
  private static final String SECOND = "000000045c1402c0aaa064f300ff07005a";
  private static final String THIRD = "0000012c70ba9b7bcf099617" + "00".repeat(300) + "5a";

  @Test
  void appendedRecords() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    RecordLog log = new RecordLog(medium);
    for (byte[] body : BODIES) {
      log.append(body);
    }
    log.force();
    assertThat(HEX.formatHex(medium.read())).isEqualTo(FIRST + SECOND + THIRD);
    assertThat(log.sizeBytes()).isEqualTo(medium.read().length);
  }

  @Test
  void replacedRecordsAreWrittenInTheSameForm() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    new RecordLog(medium).replace(List.of(BODIES.get(1), BODIES.get(0)));
    assertThat(HEX.formatHex(medium.read())).isEqualTo(SECOND + FIRST);
  }

  @Test
  void recordsAreReadBack() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    medium.append(HEX.parseHex(FIRST + SECOND + THIRD));
    assertThat(new RecordLog(medium).open()).containsExactlyElementsOf(BODIES);
  }
}
