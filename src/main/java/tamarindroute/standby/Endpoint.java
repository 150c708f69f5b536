package tamarindroute.standby;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.host.Steady;
import tamarindroute.log.Log;
import tamarindroute.net.Datagrams;
import tamarindroute.net.Timers;
import tamarindroute.protocol.MalformedException;
import tamarindroute.vrrp.Advertisement;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrp.Seal;

/**
 * One gateway's address for advertisements and the virtual routers on it. Peers are those that the settings tell, by
 * address and port; what comes from others, is not sealed as told or makes no sense is dropped with a log line. The
 * addresses in the pseudo header are those of the UDP addresses.
 */
public final class Endpoint {

    /** Who holds a virtual router's address; on the owner's thread. */
    public interface Holder {

        /** Bind, announce, serve. */
        void take();

        /** Unbind; what is open gets the answer that it still may. */
        void drop(Election.Why why);
    }

    private final Timers timers;
    private final Datagrams datagrams;
    private final InetSocketAddress own;
    private final List<InetSocketAddress> peers;
    private final Seal seal;
    private final long run;
    private long number;
    private final Map<InetSocketAddress, Seal.Heard> heard = new HashMap<>();
    private final Map<Integer, Router> routers = new HashMap<>();

    /** Without a seal the plain form of the standard is sent and taken; run is larger at each start of this gateway. */
    public Endpoint(Timers timers, Datagrams datagrams, InetSocketAddress own, List<InetSocketAddress> peers,
            Seal seal, long run) {
        this.timers = timers;
        this.datagrams = datagrams;
        this.own = own;
        this.peers = List.copyOf(peers);
        this.seal = seal;
        this.run = run;
    }

    /** Adds a virtual router, not yet started. */
    public Router add(int virtualId, int priority, List<InetAddress> addresses, Election.Settings settings,
            Holder holder) {
        Router router = new Router(virtualId, priority, addresses, settings, holder);
        if (routers.putIfAbsent(virtualId, router) != null) {
            throw new IllegalArgumentException("the virtual router " + virtualId + " is there twice");
        }
        return router;
    }

    /** Listens, then starts all routers; on the owner's thread. */
    public void start() throws IOException {
        datagrams.listen(own, (bytes, from, at, answer) -> taken(bytes, from));
        routers.values().forEach(router -> router.event(new Election.Start()));
    }

    /** Stops all routers in order: peers hear of it and need not wait. */
    public void stop() {
        routers.values().forEach(router -> router.event(new Election.Stop()));
    }

    /** A gateway's address as a number of which the higher wins a tie; unsigned bytes in their order, then the port. */
    public static long order(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        // The last six bytes tell peers of one network apart, in IPv6 too.
        long order = 0;
        for (int i = Math.max(0, bytes.length - 6); i < bytes.length; i++) {
            order = order << 8 | bytes[i] & 0xFF;
        }
        return order << 16 | address.getPort();
    }

    private void taken(byte[] bytes, InetSocketAddress from) {
        if (!peers.contains(from)) {
            Log.event("vrrp-stranger", "an advertisement from no peer", "from", from);
            return;
        }
        try {
            byte[] message = bytes;
            if (seal != null) {
                Seal.Opened opened = seal.open(bytes, heard.getOrDefault(from, Seal.Heard.NOTHING));
                heard.put(from, opened.heard());
                message = opened.message();
            }
            Advertisement told = Advertisement.read(message, from.getAddress(), own.getAddress());
            Router router = routers.get(told.virtualId());
            if (router == null || !router.addresses.equals(told.addresses())) {
                throw new MalformedException("virtual router " + told.virtualId() + " with " + told.addresses()
                        + " is not one of ours");
            }
            router.event(new Election.Heard(told.priority(), order(from), told.interval()));
        } catch (MalformedException e) {
            Log.event("vrrp-unreadable", e.getMessage(), "from", from);
        }
    }

    /** One virtual router. */
    public final class Router {

        private final int virtualId;
        private final List<InetAddress> addresses;
        private final Election.Settings settings;
        private final Holder holder;
        private Election.State state;
        private Runnable timer = () -> { };

        private Router(int virtualId, int priority, List<InetAddress> addresses, Election.Settings settings,
                Holder holder) {
            this.virtualId = virtualId;
            this.addresses = List.copyOf(addresses);
            this.settings = settings;
            this.holder = holder;
            this.state = Election.initial(priority, settings);
        }

        /** Whether this gateway may act for the address now; asked before each taking in and each write. */
        public boolean mayAct() {
            if (state.role() != Election.Role.ACTIVE) {
                return false;
            }
            if (!Election.mayAct(state, Steady.now())) {
                // It was stopped: all is put in order before whoever asked goes on.
                event(new Election.Tick());
            }
            return Election.mayAct(state, Steady.now());
        }

        public Election.State state() {
            return state;
        }

        /** How good a candidate this gateway is has changed. */
        public void priority(int now) {
            if (now != state.priority()) {
                Log.event("vrrp-priority", "changed", "router", virtualId, "from", state.priority(), "to", now);
                event(new Election.Changed(now));
            }
        }

        /** Gives the address up in order and waits as any other from then on. */
        public void resign() {
            event(new Election.Stop());
            event(new Election.Start());
        }

        private void event(Election.Event event) {
            Election.Role before = state.role();
            Duration now = Steady.now();
            Election.Step step = Election.next(state, event, now, settings);
            state = step.state();
            if (before != state.role()) {
                Log.event("vrrp-role", before + " to " + state.role(), "router", virtualId, "event", event,
                        "priority", state.priority());
            }
            timer.run();
            Duration due = Election.due(state);
            if (due != null) {
                timer = timers.after(due.minus(now), () -> event(new Election.Tick()));
            }
            for (Election.Action action : step.actions()) {
                if (action instanceof Election.Advertise advertise) {
                    advertise(advertise.priority());
                } else if (action instanceof Election.Take) {
                    holder.take();
                } else if (action instanceof Election.Drop drop) {
                    holder.drop(drop.why());
                }
            }
        }

        private void advertise(int priority) {
            Advertisement advertisement = new Advertisement(virtualId, priority, settings.interval(), addresses);
            for (InetSocketAddress peer : peers) {
                byte[] message = advertisement.write(own.getAddress(), peer.getAddress());
                datagrams.send(own, peer, seal == null ? message : seal.seal(message, run, number++));
            }
        }
    }
}
