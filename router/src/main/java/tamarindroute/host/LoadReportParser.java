package tamarindroute.host;

import tamarindroute.decision.LoadReport;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;

/** Reads the load report that a cache's answer holds, to a view or to a probe. */
public final class LoadReportParser {

  /** What a cache tells of its busy cores is within this, or it is none. */
  private static final double MAX_UTILIZATION = 100;

  /** Nor does a cache hold more requests than this. */
  private static final double MAX_OUTSTANDING = 1e6;

  private LoadReportParser() {}

  /** The load told; null for none. */
  public static LoadReport parse(FieldList fields) throws MalformedMessageException {
    String report = fields.text("rep");
    if (report == null) {
      return null;
    }
    FieldList values = FieldList.parse(report.replace(':', '=').replace(';', ','));
    LoadReport loadReport =
        new LoadReport(
            value(values, "util", "utilization", MAX_UTILIZATION),
            value(values, "inflight", "outstanding", MAX_OUTSTANDING));
    return loadReport.hasValues() ? loadReport : null;
  }

  /** A value under either name; not a number where it is not told. */
  private static double value(FieldList values, String name, String alternativeName, double max)
      throws MalformedMessageException {
    double value = values.number(name, values.number(alternativeName, -1, max), max);
    return value < 0 ? Double.NaN : value;
  }
}
