package tamarindroute.rig.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.UnaryOperator;

/** All ways, on one selecting thread. Faults may be set from any thread and hold from then on. */
public final class ProxyNetwork implements Closeable {

  /** What a selected channel leads to. */
  interface ReadyHandler {
    void onReady() throws IOException;
  }

  private record DelayedTask(long dueNanos, long number, Runnable task)
      implements Comparable<DelayedTask> {
    @Override
    public int compareTo(DelayedTask other) {
      return dueNanos != other.dueNanos
          ? Long.signum(dueNanos - other.dueNanos)
          : Long.compare(number, other.number);
    }
  }

  /** Connections at once; a process under test is bounded by 1,024 descriptors itself. */
  private static final int MAX_CONNECTIONS = 4096;

  private final long seed;
  private final Selector selector = Selector.open();
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final Set<TcpProxy> connections = new LinkedHashSet<>();
  private final PriorityQueue<DelayedTask> delayedTasks = new PriorityQueue<>();
  private final ConcurrentLinkedQueue<Runnable> submitted = new ConcurrentLinkedQueue<>();
  private final List<SelectableChannel> channels = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "proxies");
  private long taskCount;
  private volatile boolean closed;

  public ProxyNetwork(long seed) throws IOException {
    this.seed = seed;
    thread.setDaemon(true);
    thread.start();
  }

  private Link link(String from, String to) {
    return links.computeIfAbsent(from + " > " + to, name -> new Link(seed, name));
  }

  /** Changes the fault of a directed way. */
  public void changeFaults(String from, String to, UnaryOperator<LinkFaults> change) {
    Link link = link(from, to);
    link.faults = change.apply(link.faults);
    submit(() -> new ArrayList<>(connections).forEach(TcpProxy::advance));
  }

  /**
   * Opens a way to an address; a port on the loopback that takes both datagrams and connections.
   */
  public int open(String from, String to, InetSocketAddress target) throws IOException {
    for (int tries = 0; ; tries++) {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.bind(new InetSocketAddress("127.0.0.1", 0), 128);
      int port = server.socket().getLocalPort();
      DatagramChannel datagrams = DatagramChannel.open();
      try {
        datagrams.bind(new InetSocketAddress("127.0.0.1", port));
      } catch (BindException e) {
        server.close();
        datagrams.close();
        if (tries == 20) {
          throw e;
        }
        continue;
      }
      server.configureBlocking(false);
      datagrams.configureBlocking(false);
      Link forward = link(from, to);
      Link backward = link(to, from);
      UdpProxy udp = new UdpProxy(this, datagrams, target, forward, backward);
      ReadyHandler door = () -> accept(server, target, forward, backward);
      submit(
          () -> {
            register(server, SelectionKey.OP_ACCEPT, door);
            register(datagrams, SelectionKey.OP_READ, udp);
          });
      return port;
    }
  }

  private void register(SelectableChannel channel, int operation, ReadyHandler ready) {
    try {
      channels.add(channel);
      channel.register(selector, operation, ready);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void accept(
      ServerSocketChannel server, InetSocketAddress target, Link forward, Link backward)
      throws IOException {
    for (SocketChannel caller = server.accept(); caller != null; caller = server.accept()) {
      if (connections.size() >= MAX_CONNECTIONS) {
        StreamPipe.reset(caller);
      } else {
        connections.add(new TcpProxy(this, selector, caller, target, forward, backward));
      }
    }
  }

  void remove(TcpProxy link) {
    connections.remove(link);
  }

  /** On the proxies' thread, and only from there. */
  void schedule(long nanos, Runnable work) {
    delayedTasks.add(new DelayedTask(System.nanoTime() + nanos, taskCount++, work));
  }

  /** Resets all connections; new ones come up. */
  public void resetConnections() {
    submit(() -> new ArrayList<>(connections).forEach(TcpProxy::close));
  }

  private void submit(Runnable work) {
    submitted.add(work);
    selector.wakeup();
  }

  private void run() {
    while (!closed) {
      try {
        long wait =
            delayedTasks.isEmpty()
                ? 100
                : Math.min(100, (delayedTasks.peek().dueNanos - System.nanoTime()) / 1_000_000 + 1);
        if (wait <= 0) {
          selector.selectNow();
        } else {
          selector.select(wait);
        }
        for (SelectionKey key : selector.selectedKeys()) {
          if (key.isValid()) {
            ((ReadyHandler) key.attachment()).onReady();
          }
        }
        selector.selectedKeys().clear();
        for (Runnable work = submitted.poll(); work != null; work = submitted.poll()) {
          work.run();
        }
        while (!delayedTasks.isEmpty() && delayedTasks.peek().dueNanos - System.nanoTime() <= 0) {
          delayedTasks.poll().task.run();
        }
      } catch (IOException | RuntimeException e) {
        e.printStackTrace();
      }
    }
    new ArrayList<>(connections).forEach(TcpProxy::close);
    for (SelectableChannel door : channels) {
      try {
        door.close();
      } catch (IOException e) {
        // It is gone, which was the aim.
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      thread.join(5000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
  }
}
