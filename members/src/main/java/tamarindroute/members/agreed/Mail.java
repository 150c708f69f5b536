package tamarindroute.members.agreed;

import java.time.Duration;
import java.util.function.BiConsumer;
import tamarindroute.agreement.raft.Post;
import tamarindroute.host.Steady;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Timers;

/**
 * Takes messages of the agreement to others in letters, and puts together what comes; to oneself
 * goes by no socket.
 */
final class Mail implements Post {

  /**
   * Between two handfuls of pieces: 12 MB a second, which a receiver that serves views beside
   * takes.
   */
  private static final Duration PACE = Duration.ofMillis(5);

  private final Timers timers;
  private final Address self;
  private final BiConsumer<Address, byte[]> letters;
  private final BiConsumer<Address, byte[]> whole;
  private final Outbox outbox = new Outbox();
  private final Pieces pieces = new Pieces();
  private boolean sending;
  private boolean closed;

  /**
   * Carries for one.
   *
   * @param letters sends one letter's bytes
   * @param whole takes a message that has come
   */
  Mail(
      Timers timers,
      Address self,
      BiConsumer<Address, byte[]> letters,
      BiConsumer<Address, byte[]> whole) {
    this.timers = timers;
    this.self = self;
    this.letters = letters;
    this.whole = whole;
  }

  @Override
  public void send(Address to, byte[] message) {
    if (closed) {
      return;
    }
    if (to.equals(self)) {
      timers.handOver(() -> whole.accept(self, message));
      return;
    }
    outbox.put(to, message).forEach(piece -> letters.accept(piece.to(), piece.bytes()));
    if (!sending && !outbox.isEmpty()) {
      sending = true;
      pump();
    }
  }

  private void pump() {
    sending = !closed && !outbox.isEmpty();
    if (sending) {
      timers.after(PACE, this::pump);
      outbox.next().forEach(piece -> letters.accept(piece.to(), piece.bytes()));
    }
  }

  void received(Member from, byte[] piece) {
    pieces
        .taken(from, piece, Steady.now())
        .ifPresent(message -> whole.accept(from.address(), message));
  }

  /** Lets go of pieces whose others never came. */
  void tick() {
    pieces.age(Steady.now());
  }

  void close() {
    closed = true;
  }
}
