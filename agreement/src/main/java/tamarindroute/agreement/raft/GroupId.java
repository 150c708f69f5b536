package tamarindroute.agreement.raft;

import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Member;

/**
 * Computes the identifier of a voter group from its founders, so that messages of different groups
 * are distinguished.
 */
final class GroupId {

  private GroupId() {}

  /** Returns the identifier, which is positive and independent of the order of the founders. */
  static long of(List<Member> founders) {
    CRC32 lowChecksum = new CRC32();
    CRC32 highChecksum = new CRC32();
    List<Member> ordered = founders.stream().sorted(Comparator.comparing(Member::address)).toList();
    for (Member founder : ordered) {
      byte[] encoded = ViewCodec.toProto(founder).toByteArray();
      lowChecksum.update(encoded);
      highChecksum.update(encoded.length);
      highChecksum.update(encoded);
    }
    return Math.max(1, highChecksum.getValue() << 31 ^ lowChecksum.getValue());
  }
}
