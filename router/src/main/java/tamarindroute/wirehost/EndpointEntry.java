package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import tamarindroute.decision.Cache;

/**
 * One entry of a list of caches on the simulator's wire.
 *
 * @param id of the cache
 * @param zone index of the zone
 * @param availability of the cache
 * @param cell number of the cell
 * @param startedNanos clock time of the latest start; 0 for long ago
 * @param kind index of the machine's kind
 * @param weight for comparison with other caches
 */
record EndpointEntry(
    long id,
    int zone,
    Cache.Availability availability,
    int cell,
    long startedNanos,
    int kind,
    float weight) {

  /** Length of an entry. */
  static final int BYTES = 21;

  private static final int GONE = 0;
  private static final int DRAINING = 1;
  private static final int READY = 2;

  /** Decodes the next entry and advances the buffer past it. */
  static EndpointEntry read(ByteBuffer entries) throws MalformedFrameException {
    return new EndpointEntry(
        Integer.toUnsignedLong(entries.getInt()),
        Byte.toUnsignedInt(entries.get()),
        availability(entries.get()),
        Short.toUnsignedInt(entries.getShort()),
        entries.getLong(),
        Byte.toUnsignedInt(entries.get()),
        entries.getFloat());
  }

  private static Cache.Availability availability(int number) throws MalformedFrameException {
    return switch (number) {
      case READY -> Cache.Availability.READY;
      case DRAINING -> Cache.Availability.DRAINING;
      case GONE -> Cache.Availability.GONE;
      default -> throw new MalformedFrameException("no cache has the availability " + number);
    };
  }
}
