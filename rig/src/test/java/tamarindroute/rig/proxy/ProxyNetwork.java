package tamarindroute.rig.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/** All links and their proxies. Faults may be changed from any thread, and hold from then on. */
public final class ProxyNetwork implements Closeable {

  /** Bounds the connections; a process under test has at most 1,024 descriptors itself. */
  private static final int MAX_CONNECTIONS = 4096;

  private static final int BACKLOG = 128;

  /** A port that is free for connections may be in use for datagrams. */
  private static final int MAX_BIND_ATTEMPTS = 20;

  private record Listener(ServerSocketChannel stream, DatagramChannel datagrams) {}

  private final long seed;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final Set<TcpProxy> connections = new LinkedHashSet<>();
  private final ProxyLoop loop = new ProxyLoop(this::closeConnections);

  /** Starts without links; the seed determines all random draws. */
  public ProxyNetwork(long seed) throws IOException {
    this.seed = seed;
    loop.start();
  }

  private Link link(String from, String to) {
    return links.computeIfAbsent(from + " > " + to, name -> new Link(seed, name));
  }

  /** Changes the faults of a directed link. */
  public void changeFaults(String from, String to, UnaryOperator<LinkFaults> change) {
    Link link = link(from, to);
    link.setFaults(change.apply(link.faults()));
    loop.submit(() -> new ArrayList<>(connections).forEach(TcpProxy::advance));
  }

  /**
   * Opens a proxy.
   *
   * @param from name of the sender
   * @param to name of the receiver
   * @param target address of the receiver
   * @return a port on the loopback for both datagrams and connections
   */
  public int open(String from, String to, InetSocketAddress target) throws IOException {
    Listener listener = bind();
    listener.stream.configureBlocking(false);
    listener.datagrams.configureBlocking(false);
    Link forward = link(from, to);
    Link backward = link(to, from);
    UdpProxy udp = new UdpProxy(loop, listener.datagrams, target, forward, backward);
    loop.submit(
        () -> {
          loop.registerForLife(
              listener.stream,
              SelectionKey.OP_ACCEPT,
              () -> accept(listener.stream, target, forward, backward));
          loop.registerForLife(listener.datagrams, SelectionKey.OP_READ, udp);
        });
    return listener.stream.socket().getLocalPort();
  }

  private static Listener bind() throws IOException {
    for (int attempt = 1; attempt < MAX_BIND_ATTEMPTS; attempt++) {
      try {
        return tryBind();
      } catch (BindException e) {
        // Another port is tried.
      }
    }
    return tryBind();
  }

  private static Listener tryBind() throws IOException {
    InetAddress host = InetAddress.getLoopbackAddress();
    ServerSocketChannel stream = ServerSocketChannel.open();
    DatagramChannel datagrams = DatagramChannel.open();
    try {
      stream.bind(new InetSocketAddress(host, 0), BACKLOG);
      datagrams.bind(new InetSocketAddress(host, stream.socket().getLocalPort()));
      return new Listener(stream, datagrams);
    } catch (IOException e) {
      stream.close();
      datagrams.close();
      throw e;
    }
  }

  private void accept(
      ServerSocketChannel server, InetSocketAddress target, Link forward, Link backward)
      throws IOException {
    for (SocketChannel caller = server.accept(); caller != null; caller = server.accept()) {
      if (connections.size() >= MAX_CONNECTIONS) {
        StreamPipe.reset(caller);
      } else {
        connections.add(new TcpProxy(loop, caller, target, forward, backward, connections::remove));
      }
    }
  }

  /** Resets all connections; new ones may be made. */
  public void resetConnections() {
    loop.submit(this::closeConnections);
  }

  private void closeConnections() {
    new ArrayList<>(connections).forEach(TcpProxy::close);
  }

  @Override
  public void close() throws IOException {
    loop.close();
  }
}
