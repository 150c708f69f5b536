package tamarindroute.host;

import tamarindroute.decision.Load;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;

/** Reads the load report that a cache's answer holds, to a view or to a probe. */
public final class Report {

  /** What a cache tells of its busy cores is within this, or it is none. */
  private static final double MOST_BUSY = 100;

  /** Nor does a cache hold more requests than this. */
  private static final double MOST_OUTSTANDING = 1e6;

  private Report() {}

  /** The load told; null for none. */
  public static Load load(Fields fields) throws MalformedException {
    String report = fields.text("rep");
    if (report == null) {
      return null;
    }
    Fields values = Fields.read(report.replace(':', '=').replace(';', ','));
    Load load =
        new Load(
            value(values, "util", "utilization", MOST_BUSY),
            value(values, "inflight", "outstanding", MOST_OUTSTANDING));
    return load.told() ? load : null;
  }

  /** A value under either name; not a number where it is not told. */
  private static double value(Fields values, String name, String other, double most)
      throws MalformedException {
    double value = values.number(name, values.number(other, -1, most), most);
    return value < 0 ? Double.NaN : value;
  }
}
