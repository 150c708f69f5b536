package tamarindroute.net;

import java.nio.ByteBuffer;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.AbstractIoBuffer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferAllocator;

/**
 * Owns the buffers: all of one size, used again when freed, MINA's reads included. What is out is
 * counted, so that whoever would hold bytes for long can ask first whether there is room. It must
 * never block, nor give a buffer out twice: a second free of the same buffer does nothing.
 */
public final class Pool implements IoBufferAllocator {

  /**
   * An answer's mean bytes fit in a few; small enough that a hundred connections' reads weigh
   * little.
   */
  public static final int SIZE = 16 * 1024;

  private final int most;
  private final ConcurrentLinkedQueue<ByteBuffer> free = new ConcurrentLinkedQueue<>();
  private final Bound spare;
  private final AtomicInteger out = new AtomicInteger();
  private volatile Runnable roomAgain = () -> {};

  /**
   * A quarter of the memory told may be in buffers, or a third of the heap, which is the smaller
   * one if little is.
   */
  public Pool(long memory) {
    this.most = (int) (Math.min(memory / 4, Runtime.getRuntime().maxMemory() / 3) / SIZE);
    this.spare = new Bound(most);
  }

  /** Whether bytes may be held that need not be: some room is kept for reads and final answers. */
  public boolean hasRoom() {
    return hasRoomFor(0);
  }

  /** Whether so many bytes more may be held that need not be. */
  public boolean hasRoomFor(long bytes) {
    return out.get() + (bytes + SIZE - 1) / SIZE < roomy();
  }

  /** So many out, there is no more room. */
  private int roomy() {
    return most * 3 / 4;
  }

  /** Called on any thread when there is room again after there was none. */
  public void whenRoom(Runnable wake) {
    roomAgain = wake;
  }

  IoBuffer take() {
    ByteBuffer bytes = free.poll();
    if (bytes != null) {
      spare.leave();
    }
    out.incrementAndGet();
    return new Pooled(bytes == null ? ByteBuffer.allocate(SIZE) : bytes.clear(), true);
  }

  @Override
  public IoBuffer allocate(int capacity, boolean direct) {
    return capacity == SIZE ? take() : new Pooled(ByteBuffer.allocate(capacity), false);
  }

  @Override
  public ByteBuffer allocateNioBuffer(int capacity, boolean direct) {
    return ByteBuffer.allocate(capacity);
  }

  @Override
  public IoBuffer wrap(ByteBuffer bytes) {
    return new Pooled(bytes, false);
  }

  /**
   * Nothing: MINA sets its allocator anew, and disposes of the one before, with every buffer that
   * is made.
   */
  @Override
  public void dispose() {}

  private final class Pooled extends AbstractIoBuffer {

    private ByteBuffer bytes;
    private final AtomicBoolean held;

    Pooled(ByteBuffer bytes, boolean pooled) {
      super(Pool.this, bytes.capacity());
      this.bytes = bytes;
      this.held = new AtomicBoolean(pooled);
    }

    /** A view of another's bytes; only the other gives them back. */
    Pooled(Pooled parent, ByteBuffer bytes) {
      super(parent);
      this.bytes = bytes;
      this.held = new AtomicBoolean();
    }

    @Override
    public ByteBuffer buf() {
      return bytes;
    }

    @Override
    protected void buf(ByteBuffer other) {
      bytes = other;
    }

    @Override
    protected IoBuffer duplicate0() {
      return new Pooled(this, bytes.duplicate());
    }

    @Override
    protected IoBuffer slice0() {
      return new Pooled(this, bytes.slice());
    }

    @Override
    protected IoBuffer asReadOnlyBuffer0() {
      return new Pooled(this, bytes.asReadOnlyBuffer());
    }

    @Override
    public byte[] array() {
      return bytes.array();
    }

    @Override
    public int arrayOffset() {
      return bytes.arrayOffset();
    }

    @Override
    public boolean hasArray() {
      return bytes.hasArray();
    }

    @Override
    public void free() {
      if (held.compareAndSet(true, false)) {
        // In one step: one taken between a look and this would fill the pool, and room again be
        // told to none.
        int left = out.decrementAndGet();
        // What a rush took beyond the share goes back to the heap.
        if (bytes.capacity() == SIZE && spare.enter()) {
          free.add(bytes);
        }
        if (left == roomy() - 1) {
          roomAgain.run();
        }
      }
    }
  }
}
