package tamarindroute.rig.proxy;

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
public final class Proxies implements AutoCloseable {

  /** What a selected channel leads to. */
  interface Ready {
    void ready() throws IOException;
  }

  private record Due(long at, long number, Runnable work) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.signum(at - other.at) : Long.compare(number, other.number);
    }
  }

  /** Connections at once; a process under test is bounded by 1,024 descriptors itself. */
  private static final int LINKS = 4096;

  private final long seed;
  private final Selector selector = Selector.open();
  private final Map<String, Way> ways = new ConcurrentHashMap<>();
  private final Set<TcpLink> links = new LinkedHashSet<>();
  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private final ConcurrentLinkedQueue<Runnable> handed = new ConcurrentLinkedQueue<>();
  private final List<SelectableChannel> doors = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "proxies");
  private long number;
  private volatile boolean over;

  public Proxies(long seed) throws IOException {
    this.seed = seed;
    thread.setDaemon(true);
    thread.start();
  }

  private Way way(String from, String to) {
    return ways.computeIfAbsent(from + " > " + to, name -> new Way(seed, name));
  }

  /** Changes the fault of a directed way. */
  public void fault(String from, String to, UnaryOperator<Fault> change) {
    Way way = way(from, to);
    way.fault = change.apply(way.fault);
    hand(() -> new ArrayList<>(links).forEach(TcpLink::settle));
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
      Way there = way(from, to);
      Way back = way(to, from);
      UdpLink udp = new UdpLink(this, datagrams, target, there, back);
      Ready door = () -> accept(server, target, there, back);
      hand(
          () -> {
            register(server, SelectionKey.OP_ACCEPT, door);
            register(datagrams, SelectionKey.OP_READ, udp);
          });
      return port;
    }
  }

  private void register(SelectableChannel channel, int operation, Ready ready) {
    try {
      doors.add(channel);
      channel.register(selector, operation, ready);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void accept(ServerSocketChannel server, InetSocketAddress target, Way there, Way back)
      throws IOException {
    for (SocketChannel caller = server.accept(); caller != null; caller = server.accept()) {
      if (links.size() >= LINKS) {
        Pump.reset(caller);
      } else {
        links.add(new TcpLink(this, selector, caller, target, there, back));
      }
    }
  }

  void forget(TcpLink link) {
    links.remove(link);
  }

  /** On the proxies' thread, and only from there. */
  void after(long nanos, Runnable work) {
    due.add(new Due(System.nanoTime() + nanos, number++, work));
  }

  /** Resets all connections; new ones come up. */
  public void reset() {
    hand(() -> new ArrayList<>(links).forEach(TcpLink::close));
  }

  private void hand(Runnable work) {
    handed.add(work);
    selector.wakeup();
  }

  private void run() {
    while (!over) {
      try {
        long wait =
            due.isEmpty()
                ? 100
                : Math.min(100, (due.peek().at - System.nanoTime()) / 1_000_000 + 1);
        if (wait <= 0) {
          selector.selectNow();
        } else {
          selector.select(wait);
        }
        for (SelectionKey key : selector.selectedKeys()) {
          if (key.isValid()) {
            ((Ready) key.attachment()).ready();
          }
        }
        selector.selectedKeys().clear();
        for (Runnable work = handed.poll(); work != null; work = handed.poll()) {
          work.run();
        }
        while (!due.isEmpty() && due.peek().at - System.nanoTime() <= 0) {
          due.poll().work.run();
        }
      } catch (IOException | RuntimeException e) {
        e.printStackTrace();
      }
    }
    new ArrayList<>(links).forEach(TcpLink::close);
    for (SelectableChannel door : doors) {
      try {
        door.close();
      } catch (IOException e) {
        // It is gone, which was the aim.
      }
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
    selector.wakeup();
    try {
      thread.join(5000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
  }
}
