package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import tamarindroute.log.Log;
import tamarindroute.protocol.HttpReader;
import tamarindroute.protocol.MalformedException;

/**
 * Owns the connection to the control feed: asks for later events, again and again, and anew after a pause where
 * that fails. It must never know what an event says, nor skip one: the number asked for is the reader's.
 */
public final class Feed implements Peer {

    /** What reads the events. */
    public interface Reader {

        /** The number of the last event that is known. */
        long last();

        /** Takes an answer's text; throws where it makes no sense. */
        void read(String text) throws MalformedException;
    }

    /** What is told late counts as told after 7 s; a silent connection is noticed well before. */
    private static final Duration WAIT = Duration.ofMillis(2500);
    private static final Duration PATIENCE = Duration.ofMillis(3500);
    /** A broken feed is asked again soon, and not in a rush. */
    private static final Duration PAUSE = Duration.ofMillis(300);
    /** Of an answer: an eighth of the heap, in which it stands up to three times; 9,000 caches in the smallest. */
    private static final int LONGEST_BODY = (int) Math.min(4 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 8);

    private final Sockets sockets;
    private final Timers timers;
    private InetSocketAddress address;
    private final Reader events;
    private Connection connection;
    private HttpReader answer;
    private Runnable patience = () -> { };

    public Feed(Sockets sockets, Timers timers, InetSocketAddress address, Reader events) {
        this.sockets = sockets;
        this.timers = timers;
        this.address = address;
        this.events = events;
    }

    public void start() {
        answer = new HttpReader(LONGEST_BODY);
        connection = sockets.connect(address, this);
        patience = timers.after(PATIENCE, () -> connection.close(Ending.NOT_UP_IN_TIME, false));
    }

    /** From now on the feed is elsewhere; its numbers go on, so what is asked for there is what comes next. */
    public void move(InetSocketAddress elsewhere) {
        if (!elsewhere.equals(address)) {
            address = elsewhere;
            if (connection != null) {
                connection.close(Ending.LET_GO, false);
            }
        }
    }

    private void ask() {
        patience.run();
        patience = timers.after(PATIENCE, () -> connection.close(Ending.NOT_UP_IN_TIME, false));
        connection.write(("GET /v1/events?SUB=" + events.last() + "&wait=" + WAIT.toMillis() + " HTTP/1.1\r\nHost: "
                + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void opened() {
        ask();
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            if (answer.read(bytes)) {
                if (answer.status() != 200) {
                    throw new MalformedException("status " + answer.status());
                }
                events.read(answer.body());
                if (answer.closing()) {
                    connection.close(Ending.LET_GO, false);
                } else {
                    ask();
                }
            }
        } catch (MalformedException e) {
            Log.line("feed-unreadable", e.getMessage());
            connection.close(Ending.UNREADABLE, false);
        }
    }

    @Override
    public void ended(Ending ending) {
        patience.run();
        if (ending != Ending.LET_GO) {
            Log.line("feed-lost", ending);
        }
        timers.after(ending == Ending.LET_GO ? Duration.ZERO : PAUSE, this::start);
    }
}
