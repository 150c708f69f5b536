package tamarindroute.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xbill.DNS.ClientSubnetOption;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tamarindroute.config.ServiceSettings;
import tamarindroute.dns.Frames;
import tamarindroute.dns.Subnet;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.resolver.Forwarder;
import tamarindroute.start.PlatformCommand;

/** Asks one name server one question and prints all that it says. */
@Command(
    name = "ask",
    mixinStandardHelpOptions = true,
    description = "Ask a name server and print its answer. The exit code is 1 where none came.")
final class QueryCommand implements Callable<Integer> {

  /** Memory and descriptors for a single question. */
  private static final long MEMORY = 64 << 20;

  private static final int DESCRIPTORS = 256;
  private static final int COOKIE = 8;

  @Spec private picocli.CommandLine.Model.CommandSpec spec;

  @Parameters(
      index = "0",
      paramLabel = "SERVER",
      description = "address and port, as in 127.0.0.1:5300")
  private String server;

  @Parameters(index = "1", paramLabel = "NAME")
  private String name;

  @Parameters(
      index = "2",
      paramLabel = "TYPE",
      defaultValue = "A",
      description = "A, AAAA, SRV, … (default: A)")
  private String type;

  @Option(
      names = "--tcp",
      description = "ask by TCP; UDP's cut answers are asked again by TCP anyway")
  private boolean tcp;

  @Option(
      names = "--subnet",
      paramLabel = "ADDRESS/BITS",
      description = "tell this client network (RFC 7871)")
  private String subnet;

  @Option(
      names = "--cookie",
      paramLabel = "HEX",
      arity = "0..1",
      fallbackValue = "",
      description = "send a cookie (RFC 7873): 8 bytes of the client's and, if known, the server's")
  private String cookie;

  @Option(names = "--no-edns", description = "ask without EDNS")
  private boolean plain;

  @Option(
      names = "--size",
      paramLabel = "BYTES",
      defaultValue = "1232",
      description = "the largest datagram taken (default: 1232)")
  private int size;

  @Option(
      names = "--within",
      paramLabel = "MS",
      defaultValue = "2000",
      description = "how long to wait (default: 2000)")
  private int within;

  private EventLoop eventLoop;
  private final CompletableFuture<byte[]> answer = new CompletableFuture<>();

  @Override
  public Integer call() throws IOException {
    Log.useFormat(Log.Format.SMALL);
    if (!ServiceSettings.numeric(server)) {
      throw new ParameterException(spec.commandLine(), "SERVER is no ADDRESS:PORT: " + server);
    }
    InetSocketAddress address = ServiceSettings.address(server);
    Message query = query();
    eventLoop = new EventLoop();
    DatagramTransport datagrams = new DatagramTransport(eventLoop);
    SocketTransport transport = new SocketTransport(eventLoop, new BufferPool(MEMORY), DESCRIPTORS);
    long from = System.nanoTime();
    eventLoop.execute(
        () -> {
          if (tcp) {
            stream(transport, address, query);
          } else {
            datagrams.query(
                address,
                query.toWire(),
                new DatagramTransport.ReplyHandler() {
                  @Override
                  public void onReply(byte[] bytes) {
                    if (cut(bytes)) {
                      stream(transport, address, query);
                    } else {
                      answer.complete(bytes);
                    }
                  }

                  @Override
                  public void onClosed(CloseReason closeReason) {
                    answer.completeExceptionally(new IOException(closeReason.toString()));
                  }
                });
          }
        });
    int code = print(query, from);
    transport.shutDown();
    datagrams.shutDown();
    System.out.flush();
    // The clock's thread goes on for good.
    System.exit(code);
    return code;
  }

  private static boolean cut(byte[] bytes) {
    return bytes.length > 2 && (bytes[2] & 0x02) != 0;
  }

  private int print(Message query, long from) {
    try {
      Message message = new Message(answer.get(within, TimeUnit.MILLISECONDS));
      if (message.getHeader().getID() != query.getHeader().getID()) {
        System.err.println("ask: an answer to another query");
        return PlatformCommand.FAILED;
      }
      System.out.println(message);
      System.out.println(";; " + (System.nanoTime() - from) / 1000 + " us from " + server);
      return 0;
    } catch (TimeoutException e) {
      System.err.println("ask: no answer within " + within + " ms");
    } catch (ExecutionException e) {
      System.err.println("ask: " + e.getCause().getMessage());
    } catch (InterruptedException | IOException e) {
      System.err.println("ask: " + e.getMessage());
    }
    return PlatformCommand.FAILED;
  }

  private Message query() {
    int number = Type.value(type);
    if (number < 0) {
      throw new ParameterException(spec.commandLine(), "no such type: " + type);
    }
    try {
      Message message = new Message(new SecureRandom().nextInt(1 << 16));
      message.getHeader().setFlag(Flags.RD);
      message.addRecord(
          Record.newRecord(Forwarder.name(name), number, DClass.IN), Section.QUESTION);
      List<EDNSOption> options = new ArrayList<>();
      if (subnet != null) {
        Subnet network = Subnet.parse(subnet);
        options.add(new ClientSubnetOption(network.bits(), network.address()));
      }
      if (cookie != null) {
        byte[] bytes = HexFormat.of().parseHex(cookie);
        byte[] client = new byte[COOKIE];
        if (bytes.length == 0) {
          new SecureRandom().nextBytes(client);
        } else {
          System.arraycopy(bytes, 0, client, 0, COOKIE);
        }
        options.add(
            bytes.length <= COOKIE
                ? new CookieOption(client)
                : new CookieOption(
                    client, java.util.Arrays.copyOfRange(bytes, COOKIE, bytes.length)));
      }
      if (!plain) {
        message.addRecord(new OPTRecord(size, 0, 0, 0, options), Section.ADDITIONAL);
      }
      return message;
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private void stream(SocketTransport transport, InetSocketAddress address, Message query) {
    new ConnectionHandler() {
      private final Frames frames = new Frames(Message.MAXLENGTH);
      private final Connection connection = transport.connect(address, this);

      @Override
      public void onOpened() {
        connection.write(Frames.frame(query.toWire()));
      }

      @Override
      public void onReceived(ByteBuffer bytes) {
        try {
          byte[] whole = frames.next(bytes);
          if (whole != null) {
            answer.complete(whole);
          }
        } catch (MalformedMessageException e) {
          answer.completeExceptionally(e);
        }
        bytes.position(bytes.limit());
      }

      @Override
      public void onClosed(CloseReason closeReason) {
        answer.completeExceptionally(new IOException(closeReason.toString()));
      }
    };
  }
}
