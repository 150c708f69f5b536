package tamarindroute.agreement.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Record log after crashes, damage and failed writes. Guards against a torn record that is read as
 * complete, and against damage that is taken for a torn record: a voter would forget a vote.
 */
class RecordLogTest {

  /** Lengths of the bodies in {@link #writtenLog}, in bytes. */
  private static final int[] BODY_LENGTHS = {1, 7, 40, 3};

  /** Size of a record's header and end mark, in bytes. */
  private static final int FRAME_BYTES = 13;

  /** Returns a body that contains zeros and ends in them, as encoded numbers do. */
  private static byte[] body(int length) {
    byte[] body = new byte[length];
    body[0] = (byte) length;
    return body;
  }

  /** Returns the content of a log of four records. */
  private static byte[] writtenLog() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    RecordLog log = new RecordLog(medium);
    for (int length : BODY_LENGTHS) {
      log.append(body(length));
    }
    log.force();
    return medium.read();
  }

  private static List<byte[]> open(byte[] content, InMemoryStorageMedium medium)
      throws IOException {
    medium.replace(content);
    return new RecordLog(medium).open();
  }

  @Test
  void truncationAtAnyByteKeepsExactlyTheCompleteRecords() throws IOException {
    byte[] content = writtenLog();
    for (int length = 0; length <= content.length; length++) {
      InMemoryStorageMedium medium = new InMemoryStorageMedium();
      List<byte[]> records = open(Arrays.copyOf(content, length), medium);
      int complete = 0;
      int end = 0;
      while (complete < BODY_LENGTHS.length
          && end + FRAME_BYTES + BODY_LENGTHS[complete] <= length) {
        end += FRAME_BYTES + BODY_LENGTHS[complete];
        complete++;
      }
      assertThat(records).as("truncated to " + length).hasSize(complete);
      assertThat(medium.read()).hasSize(end);
      RecordLog log = new RecordLog(medium);
      log.open();
      log.append(body(9));
      assertThat(new RecordLog(medium).open()).hasSize(complete + 1).last().isEqualTo(body(9));
    }
  }

  /** After a crash the file may be longer than what was written, filled with zeros. */
  @Test
  void zeroFilledTailIsTreatedAsTornRecord() throws IOException {
    byte[] content = writtenLog();
    int lastRecord = content.length - FRAME_BYTES - BODY_LENGTHS[3];
    for (int from = lastRecord; from < content.length; from++) {
      byte[] torn = Arrays.copyOf(Arrays.copyOf(content, from), content.length + 30);
      assertThat(open(torn, new InMemoryStorageMedium())).as("zeros from " + from).hasSize(3);
    }
  }

  @Test
  void anyFlippedBitIsReportedAsCorruption() throws IOException {
    byte[] content = writtenLog();
    for (int bit = 0; bit < content.length * 8; bit++) {
      byte[] flipped = content.clone();
      flipped[bit / 8] ^= (byte) (1 << bit % 8);
      assertThatThrownBy(() -> open(flipped, new InMemoryStorageMedium()))
          .as("bit " + bit)
          .isInstanceOf(CorruptedLogException.class);
    }
  }

  @Test
  void fileIsPersistedReplacedAndLockedExclusively(@TempDir Path directory) throws IOException {
    Path path = directory.resolve("voter");
    try (RecordLog log = new RecordLog(new FileStorageMedium(path))) {
      assertThat(log.open()).isEmpty();
      log.append(body(5));
      log.force();
      assertThatThrownBy(() -> new FileStorageMedium(path)).hasMessageContaining("in use");
      log.replace(List.of(body(6), body(7)));
      log.append(body(8));
      log.force();
    }
    Files.write(path, new byte[] {0, 0, 0, 9, 1}, StandardOpenOption.APPEND);
    Files.write(directory.resolve("voter.new"), new byte[] {1});
    try (RecordLog log = new RecordLog(new FileStorageMedium(path))) {
      assertThat(log.open()).containsExactly(body(6), body(7), body(8));
      assertThat(log.sizeBytes()).isEqualTo(Files.size(path));
    }
    assertThat(directory.resolve("voter.new")).doesNotExist();
  }

  /** The medium's content is unknown after a failed write. */
  @Test
  void rejectsWritesAfterFailedWrite() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    RecordLog log = new RecordLog(medium);
    log.append(body(3));
    medium.setFull(true);
    assertThatThrownBy(log::force).hasMessage("disk full");
    medium.setFull(false);
    assertThat(log.hasFailed()).isTrue();
    assertThatThrownBy(() -> log.append(body(3))).isInstanceOf(IOException.class);
    assertThatThrownBy(log::force).isInstanceOf(IOException.class);
  }
}
