package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tamarindroute.decision.Outcome.Result;

/** The pool of buffers, and what the endings of a connection mean. */
class NetTest {

  /** MINA frees a buffer twice where a write fails; it must not be given out to two at once. */
  @Test
  void aBufferFreedTwiceIsGivenOutOnce() {
    Pool pool = new Pool(64L * 1024 * 1024);
    IoBuffer first = pool.take();
    first.free();
    first.free();
    assertThat(pool.take().buf()).isNotSameAs(pool.take().buf());
  }

  /** MINA disposes of the allocator with every buffer made; what is free must outlive that. */
  @Test
  void aFreedBufferIsUsedAgain() {
    Pool pool = new Pool(64L * 1024 * 1024);
    IoBuffer first = pool.take();
    ByteBuffer bytes = first.buf();
    first.free();
    IoBuffer.wrap(new byte[5]);
    assertThat(pool.take().buf()).isSameAs(bytes);
  }

  @Test
  void roomIsToldWhenItComesAgain() {
    Pool pool = new Pool(32L * Pool.SIZE);
    int[] told = {0};
    pool.whenRoom(() -> told[0]++);
    List<IoBuffer> out = new ArrayList<>();
    while (pool.hasRoom()) {
      out.add(pool.take());
    }
    assertThat(out).hasSize(6);
    assertThat(told[0]).isZero();
    out.forEach(IoBuffer::free);
    assertThat(told[0]).isEqualTo(1);
    assertThat(pool.hasRoom()).isTrue();
  }

  @Test
  void bytesAreCopiedOverSeveralBuffers() {
    byte[] bytes = new byte[2 * Pool.SIZE + 5];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) (i * 31);
    }
    ArrayDeque<IoBuffer> copies = new ArrayDeque<>();
    Pool pool = new Pool(64L * 1024 * 1024);
    Connection.copy(ByteBuffer.wrap(bytes, 0, 7), pool, copies);
    Connection.copy(ByteBuffer.wrap(bytes, 7, bytes.length - 7), pool, copies);
    ByteBuffer all = ByteBuffer.allocate(bytes.length);
    copies.forEach(copy -> all.put(copy.buf()));
    assertThat(copies).hasSize(3);
    assertThat(all.array()).isEqualTo(bytes);
  }

  /**
   * No effect twice: only what was not written whole, or never had a connection, is known not to
   * have run.
   */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void whatWasWrittenWholeMayHaveRun(Ending ending) {
    assertThat(ending.result(false).provesNotRun).isTrue();
    boolean neverUp =
        List.of(
                Ending.REFUSED,
                Ending.UNREACHABLE,
                Ending.NOT_UP_IN_TIME,
                Ending.NO_DESCRIPTOR,
                Ending.OVERTAKEN)
            .contains(ending);
    assertThat(ending.result(true).provesNotRun).isEqualTo(neverUp);
    assertThat(Ending.RESET.result(true)).isEqualTo(Result.BROKEN);
    assertThat(Ending.REFUSED.result(false)).isEqualTo(Result.UNREACHED);
  }
}
