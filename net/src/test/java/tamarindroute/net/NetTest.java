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
    BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
    IoBuffer first = bufferPool.acquire();
    first.free();
    first.free();
    assertThat(bufferPool.acquire().buf()).isNotSameAs(bufferPool.acquire().buf());
  }

  /** MINA disposes of the allocator with every buffer made; what is free must outlive that. */
  @Test
  void aFreedBufferIsReused() {
    BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
    IoBuffer first = bufferPool.acquire();
    ByteBuffer bytes = first.buf();
    first.free();
    IoBuffer.wrap(new byte[5]);
    assertThat(bufferPool.acquire().buf()).isSameAs(bytes);
  }

  @Test
  void theListenerIsCalledWhenCapacityReturns() {
    BufferPool bufferPool = new BufferPool(32L * BufferPool.BUFFER_BYTES);
    int[] notifications = {0};
    bufferPool.onCapacityAvailable(() -> notifications[0]++);
    List<IoBuffer> out = new ArrayList<>();
    while (bufferPool.hasCapacity()) {
      out.add(bufferPool.acquire());
    }
    assertThat(out).hasSize(6);
    assertThat(notifications[0]).isZero();
    out.forEach(IoBuffer::free);
    assertThat(notifications[0]).isEqualTo(1);
    assertThat(bufferPool.hasCapacity()).isTrue();
  }

  @Test
  void bytesAreCopiedOverSeveralBuffers() {
    byte[] bytes = new byte[2 * BufferPool.BUFFER_BYTES + 5];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) (i * 31);
    }
    ArrayDeque<IoBuffer> copies = new ArrayDeque<>();
    BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
    Connection.copy(ByteBuffer.wrap(bytes, 0, 7), bufferPool, copies);
    Connection.copy(ByteBuffer.wrap(bytes, 7, bytes.length - 7), bufferPool, copies);
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
  @EnumSource(CloseReason.class)
  void aRequestWrittenCompletelyMayHaveRun(CloseReason closeReason) {
    assertThat(closeReason.result(false).provesNotExecuted).isTrue();
    boolean neverUp =
        List.of(
                CloseReason.REFUSED,
                CloseReason.UNREACHABLE,
                CloseReason.TIMED_OUT,
                CloseReason.NO_DESCRIPTOR,
                CloseReason.NO_LONGER_WANTED)
            .contains(closeReason);
    assertThat(closeReason.result(true).provesNotExecuted).isEqualTo(neverUp);
    assertThat(CloseReason.RESET.result(true)).isEqualTo(Result.CONNECTION_LOST);
    assertThat(CloseReason.REFUSED.result(false)).isEqualTo(Result.CONNECT_FAILED);
  }
}
