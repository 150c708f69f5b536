package tamarindroute.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;
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
  private static final int REQUEST_COUNT = 150;

  private static final int CONCURRENCY = 16;
  private static final Duration TIME_LIMIT = Duration.ofMillis(1000);
  private static final int BODY_LENGTH = 12_000;
  private static final String MARKER = "warm-up";

  /** Where a call's fields stand when its frame is cut into lines. */
  private static final int FIELDS_LINE_INDEX = 8;

  /** Connections of its own may still be on their way to the door when it is done. */
  private static final Duration STRAGGLER_TIME = Duration.ofSeconds(1);

  private final EventLoop eventLoop;
  private final SocketTransport transport;
  private final InetSocketAddress ownAddress;
  private final List<String> requestClassNames;

  /** Let go of when it is done: with a long list it weighs as much as the real one. */
  private RequestPipeline pipeline;

  private final Runnable whenDone;
  private Connection client;
  private int sentCount;
  private int responseCount;
  private boolean done;
  private boolean complete;

  /** The chain is one of its own, for a list whose caches are all this gateway itself. */
  WarmUp(
      EventLoop eventLoop,
      SocketTransport transport,
      PlatformConfiguration configuration,
      RequestPipeline pipeline,
      Runnable whenDone)
      throws MalformedSettingsException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.ownAddress = configuration.listen();
    this.requestClassNames = configuration.settings().requestClassNames();
    this.pipeline = pipeline;
    this.whenDone = whenDone;
    try {
      if (!configuration.bootstrapEvents().isEmpty()) {
        pipeline.endpoints().onEvents(configuration.bootstrapEvents());
      }
    } catch (MalformedMessageException e) {
      // The real list tells of it.
    }
  }

  void start() {
    if (!pipeline.endpoints().listReceived() || requestClassNames.isEmpty()) {
      finish();
      return;
    }
    eventLoop.schedule(TIME_LIMIT, this::finish);
    client = transport.connect(ownAddress, new WarmUpClient());
  }

  /** Whether every connection that comes is a client's. */
  boolean complete() {
    return complete;
  }

  /** The views played. */
  int completedRequests() {
    return responseCount;
  }

  private void finish() {
    if (!done) {
      done = true;
      eventLoop.schedule(STRAGGLER_TIME, () -> complete = true);
      if (client != null) {
        client.close(CloseReason.CLOSED_LOCALLY, false);
      }
      pipeline.endpoints().shutDown();
      pipeline = null;
      whenDone.run();
    }
  }

  /** Finds out who has come: a client, this warm-up's client, or its caches' side. */
  ConnectionHandler identify(
      Connection connection, Function<Connection, ConnectionHandler> clientHandler) {
    return new ConnectionHandler() {
      private ConnectionHandler behind;
      private final Runnable patience =
          eventLoop.schedule(
              ClientConnection.FRAME_TIMEOUT,
              () -> {
                if (behind == null) {
                  connection.close(CloseReason.CLOSED_LOCALLY, true);
                }
              });

      @Override
      public void onReceived(ByteBuffer bytes) {
        if (behind == null) {
          String firstBytes = StandardCharsets.ISO_8859_1.decode(bytes.duplicate()).toString();
          boolean fromWarmUpCacheSide = firstBytes.startsWith("*4\r\n$3\r\nASK\r\n");
          String[] lines = firstBytes.split("\r\n", FIELDS_LINE_INDEX + 2);
          boolean fromWarmUpClient =
              lines.length > FIELDS_LINE_INDEX
                  && lines[FIELDS_LINE_INDEX].startsWith("method=" + MARKER);
          if ((fromWarmUpCacheSide || fromWarmUpClient) && done) {
            connection.close(CloseReason.CLOSED_LOCALLY, false);
            return;
          }
          behind =
              fromWarmUpCacheSide
                  ? new WarmUpCache(connection)
                  : fromWarmUpClient
                      ? pipeline.acceptClient(connection)
                      : clientHandler.apply(connection);
        }
        behind.onReceived(bytes);
      }

      @Override
      public void onInputClosed() {
        if (behind == null) {
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        } else {
          behind.onInputClosed();
        }
      }

      @Override
      public void onListenerClosed() {
        if (behind == null) {
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        } else {
          behind.onListenerClosed();
        }
      }

      @Override
      public Duration idleSince() {
        return behind == null ? Duration.ZERO : behind.idleSince();
      }

      @Override
      public void onIdle() {
        if (behind == null) {
          connection.close(CloseReason.CLOSED_LOCALLY, true);
        } else {
          behind.onIdle();
        }
      }

      @Override
      public void onClosed(CloseReason closeReason) {
        patience.run();
        if (behind != null) {
          behind.onClosed(closeReason);
        }
      }
    };
  }

  /** An id as the protocol has them, of 16 digits. */
  private static String hex(int number) {
    return Long.toHexString(0x1000_0000_0000_0000L + number);
  }

  /** The client's side. */
  private final class WarmUpClient implements ConnectionHandler {

    private final RespReader reader = new RespReader(3, 4096, BODY_LENGTH);

    @Override
    public void onOpened() {
      for (int i = 0; i < CONCURRENCY; i++) {
        sendCall();
      }
    }

    private void sendCall() {
      String objectId = hex(sentCount * 7 % 500);
      String id = hex(++sentCount);
      FieldList fields =
          new FieldList()
              .with("method", MARKER)
              .with("rid", id)
              .with("budget", 1000)
              .with("obj", objectId)
              .with("piece", 0)
              .with("lot", 1)
              .with("mem", 100)
              .with("token", id + id);
      client.write(
          RespWriter.frame(
              "RPC.CALL",
              Integer.toString(sentCount),
              requestClassNames.get(sentCount % requestClassNames.size()),
              fields.format(""),
              ""));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      try {
        for (RespReader.Step step = reader.next(bytes);
            step != RespReader.Step.NEED_MORE_BYTES;
            step = reader.next(bytes)) {
          if (step == RespReader.Step.END) {
            responseCount++;
            if (responseCount >= REQUEST_COUNT) {
              finish();
            } else {
              sendCall();
            }
          }
        }
      } catch (MalformedMessageException e) {
        finish();
      }
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      finish();
    }
  }

  /** A cache's side: lacks some, has most. */
  private static final class WarmUpCache implements ConnectionHandler {

    private final Connection connection;
    private final RespReader reader = new RespReader(3, 4096, BODY_LENGTH);
    private final byte[] body = new byte[BODY_LENGTH];
    private int requestCount;

    WarmUpCache(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      try {
        for (RespReader.Step step = reader.next(bytes);
            step != RespReader.Step.NEED_MORE_BYTES;
            step = reader.next(bytes)) {
          if (step == RespReader.Step.END && reader.arguments().get(0).equals("ASK")) {
            boolean miss = requestCount++ % 3 == 0;
            String fields = miss ? "-" : "why=hit,digest=" + MARKER + ",dated=0";
            connection.write(
                RespWriter.frameHeader(
                        miss ? 0 : BODY_LENGTH,
                        reader.arguments().get(1),
                        miss ? "NOENT" : "ACK",
                        fields)
                    .array());
            connection.write(miss ? new byte[] {'\r', '\n'} : body.clone());
            if (!miss) {
              connection.write(new byte[] {'\r', '\n'});
            }
          }
        }
      } catch (MalformedMessageException e) {
        connection.close(CloseReason.PROTOCOL_ERROR, false);
      }
    }

    @Override
    public void onInputClosed() {
      connection.close(CloseReason.CLOSED_LOCALLY, false);
    }

    @Override
    public void onClosed(CloseReason closeReason) {}
  }
}
