package tamarindroute.members;

import java.io.IOException;
import tamarindroute.host.Companion;
import tamarindroute.host.Instance;
import tamarindroute.net.Datagrams;

/** A gateway's membership, as lives beside it on its owner's thread. */
public final class Members implements Companion {

    private final MembersSettings settings;
    private Endpoint endpoint;

    public Members(MembersSettings settings) {
        this.settings = settings;
    }

    @Override
    public void started(Instance instance) throws IOException {
        endpoint = new Endpoint(instance.clock(), new Datagrams(instance.clock()), settings,
                System.currentTimeMillis(), new Endpoint.Listener() { });
        endpoint.start();
    }

    @Override
    public void stopping() {
        if (endpoint != null) {
            endpoint.leave();
        }
    }
}
