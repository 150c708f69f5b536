package tamarindroute.wirehost;

import java.nio.ByteBuffer;
import java.util.List;
import tamarindroute.decision.LoadReport;

/**
 * Decodes load reports on the simulator's wire: the number of figures in one byte, then the figures
 * as floats, in the order of the settings.
 */
final class LoadReportDecoder {

  private static final String UTILIZATION = "utilization";
  private static final String OUTSTANDING = "outstanding";

  private final int utilizationIndex;
  private final int outstandingIndex;

  /** Creates a decoder for reports with these figures. */
  LoadReportDecoder(List<String> figureNames) {
    this.utilizationIndex = figureNames.indexOf(UTILIZATION);
    this.outstandingIndex = figureNames.indexOf(OUTSTANDING);
  }

  /** Decodes the report at the buffer's position; null if it has none of the known figures. */
  LoadReport decode(ByteBuffer bytes) {
    LoadReport report =
        new LoadReport(figure(bytes, utilizationIndex), figure(bytes, outstandingIndex));
    return report.hasValues() ? report : null;
  }

  private static double figure(ByteBuffer bytes, int index) {
    int start = bytes.position();
    int count = bytes.get(start);
    boolean absent = index < 0 || index >= count;
    return absent ? Double.NaN : bytes.getFloat(start + 1 + Float.BYTES * index);
  }
}
