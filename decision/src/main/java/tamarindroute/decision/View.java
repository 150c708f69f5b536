package tamarindroute.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's wish for one part of an object, held by the gateway until its final answer. */
public final class View {

    public final Profile profile;
    public final long object;
    public final int part;
    public final int group;
    /** 0 where sizes are not told. */
    public final double kilobytes;
    public final Duration arrived;
    /** When this try of the client is over. */
    public final Duration cutOff;
    public final List<Trip> trips = new ArrayList<>(2);

    public View(Profile profile, long object, int part, int group, double kilobytes, Duration arrived,
            Duration cutOff) {
        this.profile = profile;
        this.object = object;
        this.part = part;
        this.group = group;
        this.kilobytes = kilobytes;
        this.arrived = arrived;
        this.cutOff = cutOff;
    }
}
