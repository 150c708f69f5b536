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
public final class BufferPool implements IoBufferAllocator {

  /**
   * An answer's mean bytes fit in a few; small enough that a hundred connections' reads weigh
   * little.
   */
  public static final int BUFFER_BYTES = 16 * 1024;

  private final int maxBuffers;
  private final ConcurrentLinkedQueue<ByteBuffer> free = new ConcurrentLinkedQueue<>();
  private final PermitCounter freePermits;
  private final AtomicInteger buffersInUse = new AtomicInteger();
  private volatile Runnable capacityListener = () -> {};

  /**
   * A quarter of the memory told may be in buffers, or a third of the heap, which is the smaller
   * one if little is.
   */
  public BufferPool(long memoryBytes) {
    this.maxBuffers =
        (int) (Math.min(memoryBytes / 4, Runtime.getRuntime().maxMemory() / 3) / BUFFER_BYTES);
    this.freePermits = new PermitCounter(maxBuffers);
  }

  /** Whether bytes may be held that need not be: some room is kept for reads and final answers. */
  public boolean hasCapacity() {
    return hasCapacityFor(0);
  }

  /** Whether so many bytes more may be held that need not be. */
  public boolean hasCapacityFor(long bytes) {
    return buffersInUse.get() + (bytes + BUFFER_BYTES - 1) / BUFFER_BYTES < capacityThreshold();
  }

  /** So many out, there is no more room. */
  private int capacityThreshold() {
    return maxBuffers * 3 / 4;
  }

  /** Called on any thread when there is room again after there was none. */
  public void onCapacityAvailable(Runnable listener) {
    capacityListener = listener;
  }

  IoBuffer acquire() {
    ByteBuffer bytes = free.poll();
    if (bytes != null) {
      freePermits.release();
    }
    buffersInUse.incrementAndGet();
    return new PooledBuffer(
        bytes == null ? ByteBuffer.allocate(BUFFER_BYTES) : bytes.clear(), true);
  }

  @Override
  public IoBuffer allocate(int capacity, boolean direct) {
    return capacity == BUFFER_BYTES
        ? acquire()
        : new PooledBuffer(ByteBuffer.allocate(capacity), false);
  }

  @Override
  public ByteBuffer allocateNioBuffer(int capacity, boolean direct) {
    return ByteBuffer.allocate(capacity);
  }

  @Override
  public IoBuffer wrap(ByteBuffer bytes) {
    return new PooledBuffer(bytes, false);
  }

  /**
   * Nothing: MINA sets its allocator anew, and disposes of the one before, with every buffer that
   * is made.
   */
  @Override
  public void dispose() {}

  private final class PooledBuffer extends AbstractIoBuffer {

    private ByteBuffer bytes;
    private final AtomicBoolean inUse;

    PooledBuffer(ByteBuffer bytes, boolean pooled) {
      super(BufferPool.this, bytes.capacity());
      this.bytes = bytes;
      this.inUse = new AtomicBoolean(pooled);
    }

    /** A view of another's bytes; only the other gives them back. */
    PooledBuffer(PooledBuffer parent, ByteBuffer bytes) {
      super(parent);
      this.bytes = bytes;
      this.inUse = new AtomicBoolean();
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
      return new PooledBuffer(this, bytes.duplicate());
    }

    @Override
    protected IoBuffer slice0() {
      return new PooledBuffer(this, bytes.slice());
    }

    @Override
    protected IoBuffer asReadOnlyBuffer0() {
      return new PooledBuffer(this, bytes.asReadOnlyBuffer());
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
      if (inUse.compareAndSet(true, false)) {
        // In one step: one taken between a look and this would fill the pool, and room again be
        // told to none.
        int remainingInUse = buffersInUse.decrementAndGet();
        // What a rush took beyond the share goes back to the heap.
        if (bytes.capacity() == BUFFER_BYTES && freePermits.tryAcquire()) {
          free.add(bytes);
        }
        if (remainingInUse == capacityThreshold() - 1) {
          capacityListener.run();
        }
      }
    }
  }
}
