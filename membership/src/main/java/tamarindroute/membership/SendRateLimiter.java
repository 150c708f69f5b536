package tamarindroute.membership;

/**
 * Token bucket that bounds the bytes sent a second. Half of its capacity is reserved for essential
 * messages: probes, their answers and admission.
 */
final class SendRateLimiter {

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

  /** Takes the bytes if available; otherwise takes nothing and returns false. */
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
