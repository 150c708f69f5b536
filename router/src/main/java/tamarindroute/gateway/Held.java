package tamarindroute.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.decision.View;

/**
 * A view in hand, from its admission to its final answer and the end of its last trip. It owns what
 * the client sent and the trips that are out; it must never reach a socket itself.
 */
final class Held {

  final TakeIn client;
  final String tag;
  final String id;
  final String profileName;
  final String object;
  final String key;
  final String copy;
  final View view;
  final ArrayDeque<IoBuffer> body;
  final int bodyLength;
  final List<Send.TripOut> out = new ArrayList<>(2);
  Runnable patience = () -> {};
  Runnable cutOff = () -> {};
  boolean over;

  /** No further attempt is begun: its time is over, or its client has gone, or the gateway ends. */
  boolean noMore;

  /** Attempts that the module named and that were not begun for that. */
  int unsent;

  Held(
      TakeIn client,
      TakeIn.Call call,
      View view,
      String id,
      String object,
      String key,
      String copy) {
    this.client = client;
    this.tag = call.tag();
    this.profileName = call.profile();
    this.body = call.body();
    this.bodyLength = call.bodyLength();
    this.view = view;
    this.id = id;
    this.object = object;
    this.key = key;
    this.copy = copy;
  }

  /** What the client still waits, as of now. */
  Duration left(Duration now) {
    return view.cutOff.minus(now);
  }

  void release() {
    body.forEach(IoBuffer::free);
    body.clear();
  }
}
