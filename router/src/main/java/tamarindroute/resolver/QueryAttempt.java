package tamarindroute.resolver;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import tamarindroute.dns.TcpMessageFramer;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MalformedMessageException;

/**
 * One sending of a question to one upstream, with an id, a port and a spelling of the name at
 * random. Repeats it over TCP if the answer is truncated.
 */
final class QueryAttempt implements DatagramTransport.ReplyHandler, ConnectionHandler {

  /** Datagram size in bytes that is advertised in EDNS, small enough to avoid fragments. */
  private static final int EDNS_PAYLOAD_BYTES = 1232;

  /** Mismatching answers after which the port is closed, as someone may be guessing the id. */
  private static final int MAX_MISMATCHES = 20;

  private static final int ID_COUNT = 1 << 16;

  private final ResolverContext context;
  private final PendingQuestion pendingQuestion;
  private final ForwardingRoute route;
  private final UpstreamSelector.Upstream upstream;
  private final int id;
  private final Name name;
  private final Duration startedAt;
  private final TcpMessageFramer framer = new TcpMessageFramer(Message.MAXLENGTH);
  private Runnable cancelTimer = () -> {};
  private Runnable closeTransport = () -> {};
  private Connection connection;
  private int mismatchCount;
  private boolean ended;

  QueryAttempt(
      ResolverContext context,
      PendingQuestion pendingQuestion,
      UpstreamSelector.Upstream upstream) {
    this.context = context;
    this.pendingQuestion = pendingQuestion;
    this.route = pendingQuestion.route();
    this.upstream = upstream;
    this.id = context.random().nextInt(ID_COUNT);
    this.startedAt = context.scheduler().now();
    this.name = RandomCase.of(pendingQuestion.question().name(), context.random());
  }

  void start() {
    Duration timeout = route.upstreams().sent(upstream, startedAt);
    cancelTimer = context.scheduler().schedule(timeout, () -> fail("timed out", true));
    closeTransport = context.datagrams().query(upstream.address(), encodeQuery(), this);
  }

  /** Ends the attempt without a judgement on the upstream. */
  void abandon() {
    if (!ended) {
      end();
      route.upstreams().abandoned(upstream);
    }
  }

  private byte[] encodeQuery() {
    Message message = new Message(id);
    if (route.recursive()) {
      message.getHeader().setFlag(Flags.RD);
    }
    Record question = Record.newRecord(name, pendingQuestion.question().type(), DClass.IN);
    message.addRecord(question, Section.QUESTION);
    message.addRecord(new OPTRecord(EDNS_PAYLOAD_BYTES, 0, 0), Section.ADDITIONAL);
    return message.toWire();
  }

  @Override
  public void onReply(byte[] bytes) {
    if (ended) {
      return;
    }
    AnswerValidator.Verdict verdict =
        AnswerValidator.validate(bytes, id, name, pendingQuestion.question().type(), route.zone());
    if (verdict instanceof AnswerValidator.Accepted accepted) {
      end();
      Duration now = context.scheduler().now();
      route.upstreams().answered(upstream, now.minus(startedAt), now);
      pendingQuestion.onAnswer(accepted.message());
    } else if (verdict instanceof AnswerValidator.Truncated && connection == null) {
      repeatOverTcp();
    } else if (verdict instanceof AnswerValidator.Unusable unusable) {
      fail(unusable.reason(), false);
    } else {
      onMismatch(verdict);
    }
  }

  private void repeatOverTcp() {
    closeTransport.run();
    connection = context.transport().connect(upstream.address(), this);
    closeTransport = () -> connection.close(CloseReason.CLOSED_LOCALLY, false);
  }

  private void onMismatch(AnswerValidator.Verdict verdict) {
    Log.infoWithFields("answer-mismatch", verdict, "upstream", upstream.address());
    mismatchCount++;
    if (mismatchCount >= MAX_MISMATCHES) {
      fail("too many mismatching answers", true);
    }
  }

  @Override
  public void onOpened() {
    connection.write(TcpMessageFramer.frame(encodeQuery()));
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      byte[] message = framer.nextMessage(bytes);
      while (message != null) {
        onReply(message);
        message = framer.nextMessage(bytes);
      }
    } catch (MalformedMessageException e) {
      connection.close(CloseReason.PROTOCOL_ERROR, false);
    }
    bytes.position(bytes.limit());
  }

  @Override
  public void onClosed(CloseReason closeReason) {
    fail(closeReason.toString(), false);
  }

  private void fail(String reason, boolean silent) {
    if (ended) {
      return;
    }
    end();
    route.upstreams().failed(upstream, silent, context.scheduler().now());
    Log.infoWithFields(
        "upstream-failed",
        reason,
        "upstream",
        upstream.address(),
        "name",
        pendingQuestion.question().name());
    pendingQuestion.onAttemptFailed();
  }

  private void end() {
    ended = true;
    cancelTimer.run();
    closeTransport.run();
  }
}
