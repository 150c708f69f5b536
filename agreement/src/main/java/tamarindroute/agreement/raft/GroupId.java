package tamarindroute.agreement.raft;

import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Member;

/**
 * Identifies a voter group by its founders, so that messages of different groups are told apart.
 */
final class GroupId {

  private GroupId() {}

  /** Computes the identifier, which is positive and independent of the founders' order. */
  static long of(List<Member> founders) {
    CRC32 low = new CRC32();
    CRC32 high = new CRC32();
    List<Member> ordered = founders.stream().sorted(Comparator.comparing(Member::address)).toList();
    for (Member founder : ordered) {
      byte[] encoded = ViewCodec.toProto(founder).toByteArray();
      low.update(encoded);
      high.update(encoded.length);
      high.update(encoded);
    }
    return Math.max(1, high.getValue() << 31 ^ low.getValue());
  }
}
