package tamarindroute.wirehost;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import tamarindroute.decision.Trip;

/** The action records of one reply, written as the decisions fall. */
final class Reply {

  private static final int RECORD = 40;

  private ByteBuffer records = buffer(64 * RECORD);
  private ByteBuffer tail = buffer(256);
  private int count;

  private static ByteBuffer buffer(int size) {
    return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static ByteBuffer roomFor(ByteBuffer buffer, int more) {
    if (buffer.remaining() >= more) {
      return buffer;
    }
    byte[] wider =
        Arrays.copyOf(buffer.array(), Math.max(buffer.capacity() * 2, buffer.position() + more));
    return ByteBuffer.wrap(wider).order(ByteOrder.LITTLE_ENDIAN).position(buffer.position());
  }

  /** A zeroed record with its code and instance filled in, the position behind them. */
  private ByteBuffer record(int code, int instance) {
    records = roomFor(records, RECORD);
    ByteBuffer record = records.slice(records.position(), RECORD).order(ByteOrder.LITTLE_ENDIAN);
    Arrays.fill(records.array(), records.position(), records.position() + RECORD, (byte) 0);
    records.position(records.position() + RECORD);
    count++;
    return record.put((byte) code).putShort((short) instance);
  }

  void trip(int instance, int request, Trip trip) {
    boolean look =
        trip.source == trip.cache && trip.rank == 0 && trip.oldest == null && !trip.renew;
    if (look) {
      record(80, instance).putInt(request).putInt((int) trip.cache.mark);
      return;
    }
    int switches = (trip.onlyHeld ? 2 : 0) + (trip.renew ? 8 : 0);
    record(92, instance)
        .putInt(request)
        .putInt((int) trip.source.mark)
        .putInt((int) trip.cache.mark)
        .putLong(trip.oldest == null ? 0 : Math.max(1, trip.oldest.toNanos()))
        .put((byte) switches)
        .put((byte) trip.rank);
  }

  void recall(int instance, int request, int number) {
    record(83, instance).putInt(request).put((byte) number);
  }

  void dismissal(int instance, int request, Duration comeBack) {
    record(81, instance).putInt(request).putLong(comeBack == null ? 0 : comeBack.toNanos());
  }

  void termination(int instance, int request) {
    record(82, instance).putInt(request);
  }

  void remind(int instance, long wireTime, long cookie) {
    record(84, instance).putLong(wireTime).putLong(cookie);
  }

  void observe(int instance) {
    record(90, instance).put((byte) 1);
  }

  void crash(int instance, String cause) {
    byte[] text = cause.getBytes(StandardCharsets.UTF_8);
    tail = roomFor(tail, text.length);
    record(89, instance).putInt(tail.position()).putInt(text.length);
    tail.put(text);
  }

  /** Writes all and starts anew. */
  void flush(OutputStream out) throws IOException {
    ByteBuffer header = buffer(8).putInt(count).putInt(records.position() + tail.position());
    out.write(header.array());
    out.write(records.array(), 0, records.position());
    out.write(tail.array(), 0, tail.position());
    out.flush();
    records.clear();
    tail.clear();
    count = 0;
  }
}
