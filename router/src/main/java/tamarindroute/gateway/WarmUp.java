package tamarindroute.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import tamarindroute.host.Clock;
import tamarindroute.host.Config;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.net.Peer;
import tamarindroute.net.Sockets;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.MalformedException;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;
import tamarindroute.settings.MalformedSettingsException;

/**
 * Owns the first second: plays views through a chain and a module of its own, over connections of
 * this gateway to itself, so that the code is compiled before the first client comes. It must never
 * touch the real module, the real list or a cache, and leaves nothing behind.
 */
final class WarmUp {

  /**
   * Three times the compiler's threshold as deploy/serve.sh sets it, on the whole way; bounded in
   * time, for a restart must be quick.
   */
  private static final int VIEWS = 150;

  private static final int AT_ONCE = 16;
  private static final Duration LONGEST = Duration.ofMillis(1000);
  private static final int BODY = 12_000;
  private static final String MARK = "warm-up";

  /** Where a call's fields stand when its frame is cut into lines. */
  private static final int FIELDS_LINE = 8;

  /** Connections of its own may still be on their way to the door when it is done. */
  private static final Duration STRAGGLERS = Duration.ofSeconds(1);

  private final Clock clock;
  private final Sockets sockets;
  private final InetSocketAddress self;
  private final List<String> profiles;

  /** Let go of when it is done: with a long list it weighs as much as the real one. */
  private Chain chain;

  private final Runnable whenDone;
  private Connection client;
  private int sent;
  private int answered;
  private boolean done;
  private boolean over;

  /** The chain is one of its own, for a list whose caches are all this gateway itself. */
  WarmUp(Clock clock, Sockets sockets, Config config, Chain chain, Runnable whenDone)
      throws MalformedSettingsException {
    this.clock = clock;
    this.sockets = sockets;
    this.self = config.listen();
    this.profiles = config.settings().profileNames();
    this.chain = chain;
    this.whenDone = whenDone;
    try {
      if (!config.known().isEmpty()) {
        chain.roster().read(config.known());
      }
    } catch (MalformedException e) {
      // The real list tells of it.
    }
  }

  void start() {
    if (!chain.roster().listed() || profiles.isEmpty()) {
      end();
      return;
    }
    clock.after(LONGEST, this::end);
    client = sockets.connect(self, new Client());
  }

  /** Whether every connection that comes is a client's. */
  boolean over() {
    return over;
  }

  /** The views played. */
  int views() {
    return answered;
  }

  private void end() {
    if (!done) {
      done = true;
      clock.after(STRAGGLERS, () -> over = true);
      if (client != null) {
        client.close(Ending.LET_GO, false);
      }
      chain.roster().letGo();
      chain = null;
      whenDone.run();
    }
  }

  /** Finds out who has come: a client, this warm-up's client, or its caches' side. */
  Peer door(Connection connection, Function<Connection, Peer> real) {
    return new Peer() {
      private Peer behind;
      private final Runnable patience =
          clock.after(
              TakeIn.WHOLE_FRAME,
              () -> {
                if (behind == null) {
                  connection.close(Ending.LET_GO, true);
                }
              });

      @Override
      public void received(ByteBuffer bytes) {
        if (behind == null) {
          String start = StandardCharsets.ISO_8859_1.decode(bytes.duplicate()).toString();
          boolean asks = start.startsWith("*4\r\n$3\r\nASK\r\n");
          String[] lines = start.split("\r\n", FIELDS_LINE + 2);
          boolean calls =
              lines.length > FIELDS_LINE && lines[FIELDS_LINE].startsWith("method=" + MARK);
          if ((asks || calls) && done) {
            connection.close(Ending.LET_GO, false);
            return;
          }
          behind =
              asks
                  ? new Mirror(connection)
                  : calls ? chain.takeIn(connection) : real.apply(connection);
        }
        behind.received(bytes);
      }

      @Override
      public void inputClosed() {
        if (behind == null) {
          connection.close(Ending.LET_GO, true);
        } else {
          behind.inputClosed();
        }
      }

      @Override
      public void doorShut() {
        if (behind == null) {
          connection.close(Ending.LET_GO, true);
        } else {
          behind.doorShut();
        }
      }

      @Override
      public Duration uselessSince() {
        return behind == null ? Duration.ZERO : behind.uselessSince();
      }

      @Override
      public void idle() {
        if (behind == null) {
          connection.close(Ending.LET_GO, true);
        } else {
          behind.idle();
        }
      }

      @Override
      public void ended(Ending ending) {
        patience.run();
        if (behind != null) {
          behind.ended(ending);
        }
      }
    };
  }

  /** An id as the protocol has them, of 16 digits. */
  private static String hex(int number) {
    return Long.toHexString(0x1000_0000_0000_0000L + number);
  }

  /** The client's side. */
  private final class Client implements Peer {

    private final RespReader reader = new RespReader(3, 4096, BODY);

    @Override
    public void opened() {
      for (int i = 0; i < AT_ONCE; i++) {
        call();
      }
    }

    private void call() {
      String object = hex(sent * 7 % 500);
      String id = hex(++sent);
      Fields fields =
          new Fields()
              .with("method", MARK)
              .with("rid", id)
              .with("budget", 1000)
              .with("obj", object)
              .with("piece", 0)
              .with("lot", 1)
              .with("mem", 100)
              .with("token", id + id);
      client.write(
          RespWriter.frame(
              "RPC.CALL",
              Integer.toString(sent),
              profiles.get(sent % profiles.size()),
              fields.write(""),
              ""));
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        for (RespReader.Step step = reader.next(bytes);
            step != RespReader.Step.MORE;
            step = reader.next(bytes)) {
          if (step == RespReader.Step.END) {
            answered++;
            if (answered >= VIEWS) {
              end();
            } else {
              call();
            }
          }
        }
      } catch (MalformedException e) {
        end();
      }
    }

    @Override
    public void ended(Ending ending) {
      end();
    }
  }

  /** A cache's side: lacks some, has most. */
  private static final class Mirror implements Peer {

    private final Connection connection;
    private final RespReader reader = new RespReader(3, 4096, BODY);
    private final byte[] body = new byte[BODY];
    private int count;

    Mirror(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        for (RespReader.Step step = reader.next(bytes);
            step != RespReader.Step.MORE;
            step = reader.next(bytes)) {
          if (step == RespReader.Step.END && reader.words().get(0).equals("ASK")) {
            boolean lacks = count++ % 3 == 0;
            String fields = lacks ? "-" : "why=hit,digest=" + MARK + ",dated=0";
            connection.write(
                RespWriter.opening(
                        lacks ? 0 : BODY, reader.words().get(1), lacks ? "NOENT" : "ACK", fields)
                    .array());
            connection.write(lacks ? new byte[] {'\r', '\n'} : body.clone());
            if (!lacks) {
              connection.write(new byte[] {'\r', '\n'});
            }
          }
        }
      } catch (MalformedException e) {
        connection.close(Ending.UNREADABLE, false);
      }
    }

    @Override
    public void inputClosed() {
      connection.close(Ending.LET_GO, false);
    }

    @Override
    public void ended(Ending ending) {}
  }
}
