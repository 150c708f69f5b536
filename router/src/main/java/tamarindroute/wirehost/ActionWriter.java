package tamarindroute.wirehost;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import tamarindroute.decision.Attempt;

/** The action records of one reply, written as the decisions fall. */
final class ActionWriter {

  private static final int RECORD_BYTES = 40;

  private ByteBuffer records = buffer(64 * RECORD_BYTES);
  private ByteBuffer tail = buffer(256);
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

  /** A zeroed record with its code and instance filled in, the position behind them. */
  private ByteBuffer record(int code, int instance) {
    records = ensureRemaining(records, RECORD_BYTES);
    ByteBuffer record =
        records.slice(records.position(), RECORD_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    Arrays.fill(records.array(), records.position(), records.position() + RECORD_BYTES, (byte) 0);
    records.position(records.position() + RECORD_BYTES);
    recordCount++;
    return record.put((byte) code).putShort((short) instance);
  }

  void send(int instance, int request, Attempt attempt) {
    boolean cacheLookup =
        attempt.source == attempt.cache
            && attempt.rank == 0
            && attempt.maxCopyAge == null
            && !attempt.revalidate;
    if (cacheLookup) {
      record(80, instance).putInt(request).putInt((int) attempt.cache.stableId);
      return;
    }
    int flags = (attempt.onlyIfCached ? 2 : 0) + (attempt.revalidate ? 8 : 0);
    record(92, instance)
        .putInt(request)
        .putInt((int) attempt.source.stableId)
        .putInt((int) attempt.cache.stableId)
        .putLong(attempt.maxCopyAge == null ? 0 : Math.max(1, attempt.maxCopyAge.toNanos()))
        .put((byte) flags)
        .put((byte) attempt.rank);
  }

  void cancel(int instance, int request, int attemptIndex) {
    record(83, instance).putInt(request).put((byte) attemptIndex);
  }

  void reject(int instance, int request, Duration retryAfter) {
    record(81, instance).putInt(request).putLong(retryAfter == null ? 0 : retryAfter.toNanos());
  }

  void fail(int instance, int request) {
    record(82, instance).putInt(request);
  }

  void setTimer(int instance, long wireTime, long cookie) {
    record(84, instance).putLong(wireTime).putLong(cookie);
  }

  void subscribeToList(int instance) {
    record(90, instance).put((byte) 1);
  }

  void reportFailure(int instance, String cause) {
    byte[] text = cause.getBytes(StandardCharsets.UTF_8);
    tail = ensureRemaining(tail, text.length);
    record(89, instance).putInt(tail.position()).putInt(text.length);
    tail.put(text);
  }

  /** Writes all and starts anew. */
  void flush(OutputStream out) throws IOException {
    ByteBuffer header = buffer(8).putInt(recordCount).putInt(records.position() + tail.position());
    out.write(header.array());
    out.write(records.array(), 0, records.position());
    out.write(tail.array(), 0, tail.position());
    out.flush();
    records.clear();
    tail.clear();
    recordCount = 0;
  }
}
