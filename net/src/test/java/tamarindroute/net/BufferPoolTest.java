package tamarindroute.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.Test;

/** Reuse and capacity of pooled buffers. */
class BufferPoolTest {

  /** MINA frees a buffer twice if a write fails; it must not be given to two users. */
  @Test
  void aBufferFreedTwiceIsGivenOutOnce() {
    BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
    IoBuffer first = bufferPool.acquire();
    first.free();
    first.free();
    assertThat(bufferPool.acquire().buf()).isNotSameAs(bufferPool.acquire().buf());
  }

  /**
   * MINA disposes of the allocator with every buffer that it makes, which must not drop free
   * buffers.
   */
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

  /**
   * Guards against a heap that is filled by refusals of some thirty bytes, each in a full buffer.
   */
  @Test
  void shortFramesTakeLittleOfThePool() {
    BufferPool bufferPool = new BufferPool(32L * BufferPool.BUFFER_BYTES);
    List<ArrayDeque<IoBuffer>> frames = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
      bufferPool.copy(ByteBuffer.wrap(new byte[30]), frame);
      assertThat(frame).hasSize(1);
      assertThat(frame.getFirst().capacity()).isEqualTo(30);
      frames.add(frame);
    }
    assertThat(bufferPool.hasCapacity()).isTrue();
    frames.forEach(frame -> frame.forEach(IoBuffer::free));
    assertThat(bufferPool.hasCapacityFor(5L * BufferPool.BUFFER_BYTES)).isTrue();
  }

  @Test
  void bytesAreCopiedOverSeveralBuffers() {
    byte[] bytes = new byte[2 * BufferPool.BUFFER_BYTES + 5];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) (i * 31);
    }
    ArrayDeque<IoBuffer> copies = new ArrayDeque<>();
    BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
    bufferPool.copy(ByteBuffer.wrap(bytes, 0, 7), copies);
    bufferPool.copy(ByteBuffer.wrap(bytes, 7, bytes.length - 7), copies);
    ByteBuffer all = ByteBuffer.allocate(bytes.length);
    copies.forEach(copy -> all.put(copy.buf()));
    assertThat(copies).hasSize(3);
    assertThat(all.array()).isEqualTo(bytes);
  }
}
