package tamarindroute.host;

import tamarindroute.decision.Load;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;

/** Reads the load report that a cache's answer holds, to a view or to a probe. */
public final class Report {

    /** What a cache tells of its busy cores is within this, or it is none. */
    private static final double MOST_BUSY = 100;

    private Report() { }

    /** The load told; null for none. */
    public static Load load(Fields fields) throws MalformedException {
        String report = fields.text("rep");
        if (report == null) {
            return null;
        }
        Fields values = Fields.read(report.replace(':', '=').replace(';', ','));
        double busy = values.number("util", values.number("utilization", -1, MOST_BUSY), MOST_BUSY);
        return busy < 0 ? null : new Load(busy);
    }
}
