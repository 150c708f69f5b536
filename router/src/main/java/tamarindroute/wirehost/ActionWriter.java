package tamarindroute.wirehost;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import tamarindroute.decision.Attempt;

/**
 * Encodes the actions of one reply on the simulator's wire: records of equal size, then a tail for
 * data of variable length. All numbers are little-endian.
 */
final class ActionWriter {

  private static final int LOOKUP = 80;
  private static final int REJECT = 81;
  private static final int FAIL = 82;
  private static final int CANCEL = 83;
  private static final int SET_TIMER = 84;
  private static final int REPORT_FAILURE = 89;
  private static final int SUBSCRIBE = 90;
  private static final int SEND = 92;

  private static final int ONLY_IF_CACHED_FLAG = 2;
  private static final int REVALIDATE_FLAG = 8;

  private static final byte SUBSCRIPTION_ON = 1;

  private static final int HEADER_BYTES = 8;
  private static final int RECORD_BYTES = 40;
  private static final int INITIAL_RECORDS = 64;
  private static final int INITIAL_TAIL_BYTES = 256;

  private ByteBuffer records = buffer(INITIAL_RECORDS * RECORD_BYTES);
  private ByteBuffer tail = buffer(INITIAL_TAIL_BYTES);
  private int recordCount;

  private static ByteBuffer buffer(int size) {
    return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static ByteBuffer ensureRemaining(ByteBuffer buffer, int more) {
    if (buffer.remaining() >= more) {
      return buffer;
    }
    byte[] wider =
        Arrays.copyOf(buffer.array(), Math.max(buffer.capacity() * 2, buffer.position() + more));
    return ByteBuffer.wrap(wider).order(ByteOrder.LITTLE_ENDIAN).position(buffer.position());
  }

  /** Appends a record of zeros with its code and instance, positioned behind them. */
  private ByteBuffer record(int code, int instance) {
    records = ensureRemaining(records, RECORD_BYTES);
    ByteBuffer record =
        records.slice(records.position(), RECORD_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    Arrays.fill(records.array(), records.position(), records.position() + RECORD_BYTES, (byte) 0);
    records.position(records.position() + RECORD_BYTES);
    recordCount++;
    return record.put((byte) code).putShort((short) instance);
  }

  /** Sends an attempt of a request to a cache. */
  void send(int instance, int requestId, Attempt attempt) {
    if (isPlainLookup(attempt)) {
      record(LOOKUP, instance).putInt(requestId).putInt((int) attempt.cache.stableId);
      return;
    }
    record(SEND, instance)
        .putInt(requestId)
        .putInt((int) attempt.source.stableId)
        .putInt((int) attempt.cache.stableId)
        .putLong(maxCopyAgeNanos(attempt))
        .put((byte) flags(attempt))
        .put((byte) attempt.rank);
  }

  /** Whether the attempt requests the cache's own fresh copy alone. */
  private static boolean isPlainLookup(Attempt attempt) {
    return attempt.source == attempt.cache
        && attempt.rank == 0
        && attempt.maxCopyAge == null
        && !attempt.revalidate;
  }

  /** Zero would stand for no limit. */
  private static long maxCopyAgeNanos(Attempt attempt) {
    return attempt.maxCopyAge == null ? 0 : Math.max(1, attempt.maxCopyAge.toNanos());
  }

  private static int flags(Attempt attempt) {
    return (attempt.onlyIfCached ? ONLY_IF_CACHED_FLAG : 0)
        | (attempt.revalidate ? REVALIDATE_FLAG : 0);
  }

  /** Cancels an attempt. */
  void cancel(int instance, int requestId, int attemptIndex) {
    record(CANCEL, instance).putInt(requestId).put((byte) attemptIndex);
  }

  /** Rejects a request, which was not executed; retryAfter is null for no advice. */
  void reject(int instance, int requestId, Duration retryAfter) {
    record(REJECT, instance)
        .putInt(requestId)
        .putLong(retryAfter == null ? 0 : retryAfter.toNanos());
  }

  /** Fails a request, which may have been executed. */
  void fail(int instance, int requestId) {
    record(FAIL, instance).putInt(requestId);
  }

  /** Sets a timer, which returns the cookie at the clock time. */
  void setTimer(int instance, long clockNanos, long cookie) {
    record(SET_TIMER, instance).putLong(clockNanos).putLong(cookie);
  }

  /** Requests all changes of the list of caches from now on. */
  void subscribeToList(int instance) {
    record(SUBSCRIBE, instance).put(SUBSCRIPTION_ON);
  }

  /** Reports that the policy of an instance has failed, which ends the simulation. */
  void reportFailure(int instance, String cause) {
    byte[] text = cause.getBytes(StandardCharsets.UTF_8);
    tail = ensureRemaining(tail, text.length);
    record(REPORT_FAILURE, instance).putInt(tail.position()).putInt(text.length);
    tail.put(text);
  }

  /** Writes all actions as one frame, and starts the next one. */
  void flush(OutputStream out) throws IOException {
    ByteBuffer header =
        buffer(HEADER_BYTES).putInt(recordCount).putInt(records.position() + tail.position());
    out.write(header.array());
    out.write(records.array(), 0, records.position());
    out.write(tail.array(), 0, tail.position());
    out.flush();
    records.clear();
    tail.clear();
    recordCount = 0;
  }
}
