package tamarindroute.net;

import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.AbstractIoBuffer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferAllocator;

/**
 * Non-blocking pool of equally sized buffers, which also serves MINA's reads. Counts the buffers in
 * use, so that whoever would hold bytes for long can ask first whether there is capacity. Freeing a
 * buffer twice has no effect.
 */
public final class BufferPool implements IoBufferAllocator {

  /**
   * The size of a buffer: a mean response fits in a few, and the reads of a hundred connections
   * weigh little.
   */
  public static final int BUFFER_BYTES = 16 * 1024;

  /** Buffers may take this part of the memory limit ... */
  private static final int MEMORY_DIVISOR = 4;

  /** ... and of the heap, which is the smaller bound under small limits. */
  private static final int HEAP_DIVISOR = 3;

  private final int maxBuffers;
  private final ConcurrentLinkedQueue<ByteBuffer> free = new ConcurrentLinkedQueue<>();
  private final PermitCounter freePermits;
  private final AtomicInteger buffersInUse = new AtomicInteger();
  private volatile Runnable capacityListener = () -> {};

  /**
   * Creates an empty pool.
   *
   * @param memoryBytes the memory limit of the process
   */
  public BufferPool(long memoryBytes) {
    long bytes =
        Math.min(memoryBytes / MEMORY_DIVISOR, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    this.maxBuffers = (int) (bytes / BUFFER_BYTES);
    this.freePermits = new PermitCounter(maxBuffers);
  }

  /**
   * Whether bytes may be held that need not be; a part of the pool is reserved for reads and final
   * responses.
   */
  public boolean hasCapacity() {
    return hasCapacityFor(0);
  }

  /** Whether this many more bytes may be held that need not be. */
  public boolean hasCapacityFor(long bytes) {
    return buffersInUse.get() + (bytes + BUFFER_BYTES - 1) / BUFFER_BYTES < capacityThreshold();
  }

  /** The number of buffers in use from which on there is no capacity. */
  private int capacityThreshold() {
    return maxBuffers * 3 / 4;
  }

  /** Sets what is run, on any thread, when there is capacity again after there was none. */
  public void onCapacityAvailable(Runnable listener) {
    capacityListener = listener;
  }

  /** Takes a free buffer or allocates one; never fails for lack of capacity. */
  IoBuffer acquire() {
    ByteBuffer bytes = free.poll();
    if (bytes != null) {
      freePermits.release();
    }
    buffersInUse.incrementAndGet();
    return new PooledBuffer(
        bytes == null ? ByteBuffer.allocate(BUFFER_BYTES) : bytes.clear(), true);
  }

  /**
   * Copies bytes into buffers of this pool.
   *
   * @param bytes to be consumed completely
   * @param target that buffers are appended to; its last buffer is filled up first
   */
  public void copy(ByteBuffer bytes, Deque<IoBuffer> target) {
    while (bytes.hasRemaining()) {
      IoBuffer last = target.peekLast();
      if (last == null || last.limit() == last.capacity()) {
        last = acquire();
        last.limit(0);
        target.add(last);
      }
      int offset = last.limit();
      int length = Math.min(bytes.remaining(), last.capacity() - offset);
      last.limit(offset + length);
      last.buf().put(offset, bytes, bytes.position(), length);
      bytes.position(bytes.position() + length);
    }
  }

  /** Takes a buffer back; called once for each acquired one. */
  private void release(ByteBuffer bytes) {
    // Counted in one step: with a separate read of the count, another thread could fill the pool in
    // between, and the listener would not be called.
    int remainingInUse = buffersInUse.decrementAndGet();
    if (bytes.capacity() == BUFFER_BYTES && freePermits.tryAcquire()) {
      free.add(bytes);
    }
    if (remainingInUse == capacityThreshold() - 1) {
      capacityListener.run();
    }
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
   * Does nothing: MINA sets its allocator anew, and disposes of the previous one, for every buffer
   * that it makes.
   */
  @Override
  public void dispose() {}

  /**
   * A buffer in MINA's form. Derived buffers share the bytes; only the original returns them to the
   * pool.
   */
  private final class PooledBuffer extends AbstractIoBuffer {

    private ByteBuffer bytes;
    private final AtomicBoolean inUse;

    PooledBuffer(ByteBuffer bytes, boolean pooled) {
      super(BufferPool.this, bytes.capacity());
      this.bytes = bytes;
      this.inUse = new AtomicBoolean(pooled);
    }

    private PooledBuffer(PooledBuffer parent, ByteBuffer bytes) {
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
        release(bytes);
      }
    }
  }
}
