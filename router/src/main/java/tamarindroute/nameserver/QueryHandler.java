package tamarindroute.nameserver;

import java.net.InetAddress;
import java.time.Instant;
import java.util.function.Consumer;
import tamarindroute.dns.Responder;
import tamarindroute.net.Scheduler;
import tamarindroute.resolver.Forwarder;

/** Answers queries from both transports, and forwards those of other installations' zones. */
final class QueryHandler {

  private final Scheduler scheduler;
  private final Forwarder forwarder;
  private final ActiveSettings active;
  private int forwardedInFlight;
  private boolean draining;

  QueryHandler(Scheduler scheduler, Forwarder forwarder, ActiveSettings active) {
    this.scheduler = scheduler;
    this.forwarder = forwarder;
    this.active = active;
  }

  /** Ignores all further queries. */
  void drain() {
    draining = true;
  }

  /** Returns how many forwarded queries wait for an answer. */
  int forwardedInFlight() {
    return forwardedInFlight;
  }

  /**
   * Handles a query.
   *
   * @param datagram whether it came over UDP rather than TCP
   * @param callback receives the response; over TCP, where the connection counts its queries, null
   *     for none
   */
  void onQuery(byte[] bytes, InetAddress sender, boolean datagram, Consumer<byte[]> callback) {
    if (draining) {
      reply(new Responder.Silence(), datagram, callback);
      return;
    }
    Responder responder = active.responder();
    Responder.Reply reply =
        responder.answer(bytes, sender, datagram, scheduler.now(), Instant.now());
    if (reply instanceof Responder.Forward forward) {
      forward(responder, forward, datagram, callback);
    } else {
      reply(reply, datagram, callback);
    }
  }

  private void forward(
      Responder responder, Responder.Forward forward, boolean datagram, Consumer<byte[]> callback) {
    forwardedInFlight++;
    forwarder.query(
        active.routeTo(forward.zone()),
        forward.question().getName(),
        forward.question().getType(),
        result -> {
          forwardedInFlight--;
          Responder.Reply reply =
              responder.onForwardedAnswer(
                  forward.pending(),
                  result.message(),
                  result.stale(),
                  scheduler.now(),
                  Instant.now());
          reply(reply, datagram, callback);
        });
  }

  private static void reply(Responder.Reply reply, boolean datagram, Consumer<byte[]> callback) {
    if (reply instanceof Responder.Send send) {
      callback.accept(send.bytes());
    } else if (!datagram) {
      callback.accept(null);
    }
  }
}
