package tamarindroute.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xbill.DNS.Message;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tamarindroute.log.Log;
import tamarindroute.start.ExitCode;

/** The subcommand {@code ask}: sends one DNS query and prints the response. */
@Command(
    name = "ask",
    mixinStandardHelpOptions = true,
    description = "Query a name server and print its response. The exit code is 1 without one.")
final class QueryCommand implements Callable<Integer> {

  private static final long NANOS_PER_MICRO = 1000;

  @Spec private CommandSpec spec;

  @Mixin private QueryArguments arguments;

  @Option(
      names = "--tcp",
      description = "use TCP; truncated responses to UDP are repeated by TCP anyway")
  private boolean tcp;

  @Option(
      names = "--within",
      paramLabel = "MS",
      defaultValue = "2000",
      description = "how long to wait (default: 2000)")
  private int timeoutMillis;

  @Override
  public Integer call() throws IOException {
    Log.useFormat(Log.Format.SMALL);
    InetSocketAddress address;
    Message query;
    try {
      address = arguments.serverAddress();
      query = arguments.toQuery();
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
    QueryExchange exchange = new QueryExchange(address, query);
    long startedAt = System.nanoTime();
    int exitCode = print(exchange.start(tcp), query, startedAt);
    exchange.shutDown();
    System.out.flush();
    // The event loop's thread would keep the process running.
    System.exit(exitCode);
    return exitCode;
  }

  private int print(CompletableFuture<byte[]> response, Message query, long startedAt) {
    try {
      Message message = new Message(response.get(timeoutMillis, TimeUnit.MILLISECONDS));
      if (message.getHeader().getID() != query.getHeader().getID()) {
        return fail("the response belongs to another query");
      }
      long micros = (System.nanoTime() - startedAt) / NANOS_PER_MICRO;
      System.out.println(message);
      System.out.println(";; " + micros + " us from " + arguments.server());
      return 0;
    } catch (TimeoutException e) {
      return fail("no answer within " + timeoutMillis + " ms");
    } catch (ExecutionException e) {
      return fail(e.getCause().getMessage());
    } catch (InterruptedException | IOException e) {
      return fail(e.getMessage());
    }
  }

  private static int fail(String message) {
    System.err.println("ask: " + message);
    return ExitCode.FAILED;
  }
}
