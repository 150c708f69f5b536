package tamarindroute.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** The interface that the carrying is written against; the machine follows in the next commit. */
public final class Membership {

    public Membership(Settings settings, Member self, List<Address> seeds, Duration now) {
        throw new UnsupportedOperationException("not there yet");
    }

    /** A message that was read whole and proven to be a peer's. */
    public List<Action> told(Message message, Duration now) {
        throw new UnsupportedOperationException("not there yet");
    }

    /** Time has passed: at the latest when wake told. */
    public List<Action> tick(Duration now) {
        throw new UnsupportedOperationException("not there yet");
    }

    /** It goes in order; nothing it is told counts any more. */
    public List<Action> leave(Duration now) {
        throw new UnsupportedOperationException("not there yet");
    }

    /** The span until the next tick is due; zero where it is overdue. */
    public Duration wake(Duration now) {
        throw new UnsupportedOperationException("not there yet");
    }

    /** All others that are remembered, with their standing. */
    public Map<Member, Standing> members() {
        throw new UnsupportedOperationException("not there yet");
    }

    /** Those held alive or suspect, and oneself. */
    public List<Member> alive() {
        throw new UnsupportedOperationException("not there yet");
    }

    public Member self() {
        throw new UnsupportedOperationException("not there yet");
    }

    /** One's own condition at this very moment, whatever timers ran: asked before acting. */
    public Action.State touch(Duration now) {
        throw new UnsupportedOperationException("not there yet");
    }
}
