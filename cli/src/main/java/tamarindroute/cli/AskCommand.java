package tamarindroute.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xbill.DNS.Message;
import org.xbill.DNS.Type;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tamarindroute.config.ServiceSettings;
import tamarindroute.log.Log;
import tamarindroute.start.ExitCode;

/** Sends one query to a name server and prints the answer. */
@Command(
    name = "ask",
    mixinStandardHelpOptions = true,
    description = "Ask a name server and print its answer. The exit code is 1 if none came.")
final class AskCommand implements Callable<Integer> {

  @Spec private CommandLine.Model.CommandSpec spec;

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
      description = "ask by TCP; truncated UDP answers are asked for again by TCP anyway")
  private boolean tcp;

  @Option(
      names = "--subnet",
      paramLabel = "ADDRESS/BITS",
      description = "send this client network (RFC 7871)")
  private String subnet;

  @Option(
      names = "--cookie",
      paramLabel = "HEX",
      arity = "0..1",
      fallbackValue = "",
      description = "send a cookie (RFC 7873): 8 bytes of the client's and, if known, the server's")
  private String cookie;

  @Option(names = "--no-edns", description = "ask without EDNS")
  private boolean withoutEdns;

  @Option(
      names = "--size",
      paramLabel = "BYTES",
      defaultValue = "1232",
      description = "the largest datagram taken (default: 1232)")
  private int maxDatagramBytes;

  @Option(
      names = "--within",
      paramLabel = "MS",
      defaultValue = "2000",
      description = "how long to wait (default: 2000)")
  private int timeoutMillis;

  @Override
  public Integer call() {
    Log.useFormat(Log.Format.SMALL);
    if (!ServiceSettings.numeric(server)) {
      throw new ParameterException(
          spec.commandLine(), "SERVER is " + server + ", not of the form ADDRESS:PORT");
    }
    InetSocketAddress address = ServiceSettings.address(server);
    Message query = query();
    int code;
    try (DnsExchange exchange = new DnsExchange(address, query)) {
      long startNanos = System.nanoTime();
      code = print(tcp ? exchange.sendByTcp() : exchange.send(), query, startNanos);
    }
    System.out.flush();
    // The event loop's thread does not end by itself.
    System.exit(code);
    return code;
  }

  private int print(Future<byte[]> answer, Message query, long startNanos) {
    try {
      Message message = new Message(answer.get(timeoutMillis, TimeUnit.MILLISECONDS));
      if (message.getHeader().getID() != query.getHeader().getID()) {
        return fail("the answer is to another query");
      }
      System.out.println(message);
      long elapsedMicros = (System.nanoTime() - startNanos) / 1000;
      System.out.println(";; " + elapsedMicros + " us from " + server);
      return ExitCode.OK;
    } catch (TimeoutException e) {
      return fail("no answer within " + timeoutMillis + " ms");
    } catch (ExecutionException e) {
      return fail(e.getCause().getMessage());
    } catch (InterruptedException | IOException e) {
      return fail(e.getMessage());
    }
  }

  private static int fail(String reason) {
    System.err.println("ask: " + reason);
    return ExitCode.FAILED;
  }

  private Message query() {
    int typeCode = Type.value(type);
    if (typeCode < 0) {
      throw new ParameterException(spec.commandLine(), "TYPE is " + type + ", no such type");
    }
    try {
      DnsQueryBuilder builder = new DnsQueryBuilder(name, typeCode);
      if (subnet != null) {
        builder.subnet(subnet);
      }
      if (cookie != null) {
        builder.cookie(HexFormat.of().parseHex(cookie));
      }
      if (!withoutEdns) {
        builder.edns(maxDatagramBytes);
      }
      return builder.build();
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }
}
