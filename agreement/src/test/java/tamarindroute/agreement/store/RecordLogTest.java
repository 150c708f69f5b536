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

class RecordLogTest {

  private static final int[] LENGTHS = {1, 7, 40, 3};

  /** Bodies that end in zeros and hold them, as numbers do. */
  private static byte[] body(int length) {
    byte[] body = new byte[length];
    body[0] = (byte) length;
    return body;
  }

  private static InMemoryStorageMedium written() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    RecordLog log = new RecordLog(medium);
    for (int length : LENGTHS) {
      log.append(body(length));
    }
    log.force();
    return medium;
  }

  private static List<byte[]> opened(byte[] bytes, InMemoryStorageMedium medium)
      throws IOException {
    medium.replace(bytes);
    return new RecordLog(medium).open();
  }

  @Test
  void truncationAtAnyByteKeepsExactlyTheCompleteRecords() throws IOException {
    byte[] all = written().read();
    for (int length = 0; length <= all.length; length++) {
      InMemoryStorageMedium medium = new InMemoryStorageMedium();
      List<byte[]> records = opened(Arrays.copyOf(all, length), medium);
      int whole = 0;
      int end = 0;
      while (whole < LENGTHS.length && end + 13 + LENGTHS[whole] <= length) {
        end += 13 + LENGTHS[whole++];
      }
      assertThat(records).as("cut at " + length).hasSize(whole);
      assertThat(medium.read()).hasSize(end);
      RecordLog on = new RecordLog(medium);
      on.open();
      on.append(body(9));
      assertThat(new RecordLog(medium).open()).hasSize(whole + 1).last().isEqualTo(body(9));
    }
  }

  /** A crash may leave the file longer than what was written into it: zeros from some place on. */
  @Test
  void zeroFilledTailIsTreatedAsTornRecord() throws IOException {
    byte[] all = written().read();
    int last = all.length - 13 - LENGTHS[3];
    for (int from = last; from < all.length; from++) {
      byte[] torn = Arrays.copyOf(Arrays.copyOf(all, from), all.length + 30);
      assertThat(opened(torn, new InMemoryStorageMedium())).as("zeros from " + from).hasSize(3);
    }
  }

  @Test
  void anyFlippedBitIsReportedAsCorruption() throws IOException {
    byte[] all = written().read();
    for (int bit = 0; bit < all.length * 8; bit++) {
      byte[] flipped = all.clone();
      flipped[bit / 8] ^= (byte) (1 << bit % 8);
      assertThatThrownBy(() -> opened(flipped, new InMemoryStorageMedium()))
          .as("bit " + bit)
          .isInstanceOf(RecordLog.CorruptedLogException.class);
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

  /** After a failed write nothing more is taken: what is on the disk is not known. */
  @Test
  void rejectsWritesAfterFailedWrite() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    RecordLog log = new RecordLog(medium);
    log.append(body(3));
    medium.full = true;
    assertThatThrownBy(log::force).hasMessage("disk full");
    medium.full = false;
    assertThat(log.hasFailed()).isTrue();
    assertThatThrownBy(() -> log.append(body(3))).isInstanceOf(IOException.class);
    assertThatThrownBy(log::force).isInstanceOf(IOException.class);
  }
}
