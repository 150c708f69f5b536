package tamarindroute.host;

import tamarindroute.decision.LoadReport;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Parses the load report that a cache attaches to its responses: the field {@code rep}, whose value
 * is a list of {@code name:value} pairs separated by semicolons. Each figure has two accepted
 * names.
 */
public final class LoadReportParser {

  private static final String REPORT_FIELD = "rep";
  private static final String UTILIZATION = "util";
  private static final String UTILIZATION_ALTERNATIVE = "utilization";
  private static final String OUTSTANDING = "inflight";
  private static final String OUTSTANDING_ALTERNATIVE = "outstanding";

  /** Upper bound of a plausible utilization; 1 means that all cores are busy. */
  private static final double MAX_UTILIZATION = 100;

  /** Upper bound of a plausible number of outstanding requests. */
  private static final double MAX_OUTSTANDING = 1e6;

  private LoadReportParser() {}

  /**
   * Returns the load report among the fields of a response.
   *
   * @return the report, or null if the response has none or none of the known figures
   * @throws MalformedMessageException if the report is no list of pairs, or a figure is no number
   *     in its range
   */
  public static LoadReport parse(FieldList fields) throws MalformedMessageException {
    String text = fields.text(REPORT_FIELD);
    if (text == null) {
      return null;
    }
    FieldList figures = FieldList.parse(text.replace(':', '=').replace(';', ','));
    LoadReport report =
        new LoadReport(
            figure(figures, UTILIZATION, UTILIZATION_ALTERNATIVE, MAX_UTILIZATION),
            figure(figures, OUTSTANDING, OUTSTANDING_ALTERNATIVE, MAX_OUTSTANDING));
    return report.hasValues() ? report : null;
  }

  /** The figure under either name; NaN if it is absent. */
  private static double figure(FieldList figures, String name, String alternativeName, double max)
      throws MalformedMessageException {
    double figure = figures.number(name, figures.number(alternativeName, -1, max), max);
    return figure < 0 ? Double.NaN : figure;
  }
}
