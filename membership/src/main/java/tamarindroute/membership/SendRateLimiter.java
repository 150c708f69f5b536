package tamarindroute.membership;

/**
 * Token bucket that bounds the bytes sent per second. Its capacity is one second's worth of bytes.
 * Half of the capacity is reserved for essential messages, which are all except gossip and state
 * exchange requests.
 */
final class SendRateLimiter {

  /** This part of the capacity is reserved for essential messages. */
  private static final int RESERVED_DIVISOR = 2;

  private static final double SECONDS_PER_NANO = 1e-9;

  private final int bytesPerSecond;
  private double availableBytes;
  private long updatedNanos;

  SendRateLimiter(int bytesPerSecond, long nowNanos) {
    this.bytesPerSecond = bytesPerSecond;
    this.availableBytes = bytesPerSecond;
    this.updatedNanos = nowNanos;
  }

  SendRateLimiter copy() {
    SendRateLimiter copy = new SendRateLimiter(bytesPerSecond, updatedNanos);
    copy.availableBytes = availableBytes;
    return copy;
  }

  /**
   * Takes the bytes from the bucket if they are available.
   *
   * @param bytes number of bytes to send
   * @param essential whether the reserved part may be used
   * @return whether the bytes were taken; if not, nothing was taken
   */
  boolean tryAcquire(int bytes, boolean essential, long nowNanos) {
    double refill = (nowNanos - updatedNanos) * SECONDS_PER_NANO * bytesPerSecond;
    availableBytes = Math.min(bytesPerSecond, availableBytes + refill);
    updatedNanos = nowNanos;
    int reserved = essential ? 0 : bytesPerSecond / RESERVED_DIVISOR;
    if (availableBytes < bytes + reserved) {
      return false;
    }
    availableBytes -= bytes;
    return true;
  }
}
