package tamarindroute.net;

import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.AbstractIoBuffer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferAllocator;

/**
 * Non-blocking pool of buffers, which also serves MINA's reads. Buffers of {@link #BUFFER_BYTES}
 * are reused; content that is known to be shorter gets a buffer of its own length. Counts the bytes
 * in use, so that whoever would hold bytes for long can ask first whether there is capacity.
 * Freeing a buffer twice has no effect.
 */
public final class BufferPool implements IoBufferAllocator {

  /**
   * The size of a full buffer: a mean response fits in a few, and the reads of a hundred
   * connections weigh little.
   */
  public static final int BUFFER_BYTES = 16 * 1024;

  /** The size of a buffer for one read from a client. */
  static final int CLIENT_READ_BYTES = 4 * 1024;

  /** Counted for each buffer beside its bytes: the objects that hold it until it was sent. */
  private static final int OVERHEAD_BYTES = 256;

  /** Buffers may take this part of the memory limit ... */
  private static final int MEMORY_DIVISOR = 4;

  /** ... and of the heap, which is the smaller bound under small limits. */
  private static final int HEAP_DIVISOR = 3;

  private final int maxBuffers;
  private final ConcurrentLinkedQueue<ByteBuffer> free = new ConcurrentLinkedQueue<>();
  private final PermitCounter freePermits;
  private final AtomicLong bytesInUse = new AtomicLong();
  private volatile Runnable capacityListener = () -> {};
  private volatile Runnable shortageListener = () -> {};

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

  /** The number of full buffers that the pool is made for. */
  int maxBuffers() {
    return maxBuffers;
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
    return bytesInUse.get() + bytes < capacityThreshold();
  }

  /** Whether the reserved part is used up, too: only what frees buffers should still take any. */
  public boolean isExhausted() {
    return bytesInUse.get() >= (long) maxBuffers * BUFFER_BYTES;
  }

  /** The number of bytes in use from which on there is no capacity. */
  private long capacityThreshold() {
    return maxBuffers * 3 / 4 * (long) BUFFER_BYTES;
  }

  /** Sets what is run on the event loop when somebody begins to wait for capacity. */
  void onShortage(Runnable listener) {
    shortageListener = listener;
  }

  /** Tells that somebody waits for capacity; on the event loop. */
  public void reportShortage() {
    shortageListener.run();
  }

  /** Lets all who wait for capacity try again. */
  void notifyWaiting() {
    capacityListener.run();
  }

  /**
   * Adds what is run, on any thread, when there is capacity again after there was none, and from
   * time to time while somebody waits for it.
   */
  public synchronized void onCapacityAvailable(Runnable listener) {
    Runnable earlier = capacityListener;
    capacityListener =
        () -> {
          earlier.run();
          listener.run();
        };
  }

  /** Takes a free full buffer or allocates one; never fails for lack of capacity. */
  IoBuffer acquire() {
    ByteBuffer bytes = free.poll();
    if (bytes != null) {
      freePermits.release();
    }
    IoBuffer buffer =
        new PooledBuffer(bytes == null ? ByteBuffer.allocate(BUFFER_BYTES) : bytes.clear(), true);
    bytesInUse.addAndGet(BUFFER_BYTES + OVERHEAD_BYTES);
    return buffer;
  }

  /** A buffer for content of this length, at most a full one. */
  private IoBuffer acquire(int contentBytes) {
    if (contentBytes >= BUFFER_BYTES) {
      return acquire();
    }
    IoBuffer buffer = new PooledBuffer(ByteBuffer.allocate(contentBytes), true);
    bytesInUse.addAndGet(contentBytes + OVERHEAD_BYTES);
    dropFreeBuffersBeyondLimit();
    return buffer;
  }

  /** Free buffers and those in use together stay within the pool's size. */
  private void dropFreeBuffersBeyondLimit() {
    while (bytesInUse.get() + (long) freePermits.acquired() * BUFFER_BYTES
            > (long) maxBuffers * BUFFER_BYTES
        && free.poll() != null) {
      freePermits.release();
    }
  }

  /**
   * Copies bytes into buffers of this pool, when no more content follows.
   *
   * @param bytes to be consumed completely
   * @param target that buffers are appended to; its last buffer is filled up first
   */
  public void copy(ByteBuffer bytes, Deque<IoBuffer> target) {
    copy(bytes, target, 0);
  }

  /**
   * Copies bytes into buffers of this pool.
   *
   * @param bytes to be consumed completely
   * @param target that buffers are appended to; its last buffer is filled up first
   * @param bytesToFollow the number of bytes that will be copied to the same target later
   */
  public void copy(ByteBuffer bytes, Deque<IoBuffer> target, int bytesToFollow) {
    while (bytes.hasRemaining()) {
      IoBuffer last = target.peekLast();
      if (last == null || last.limit() == last.capacity()) {
        last = acquire(Math.addExact(bytes.remaining(), bytesToFollow));
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
    int length = bytes.capacity() + OVERHEAD_BYTES;
    // Counted in one step: with a separate read of the count, another thread could fill the pool in
    // between, and the listener would not be called.
    long remainingInUse = bytesInUse.addAndGet(-length);
    if (bytes.capacity() == BUFFER_BYTES && freePermits.tryAcquire()) {
      free.add(bytes);
    }
    if (remainingInUse < capacityThreshold() && remainingInUse + length >= capacityThreshold()) {
      capacityListener.run();
    }
  }

  @Override
  public IoBuffer allocate(int capacity, boolean direct) {
    // Of MINA's buffers only those of reads are freed, and so counted.
    return capacity == BUFFER_BYTES || capacity == CLIENT_READ_BYTES
        ? acquire(capacity)
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
