package tamarindroute.standby;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.net.Datagrams;
import tamarindroute.protocol.MalformedException;
import tamarindroute.protocol.Seal;

/**
 * One address's sending and opening of messages: the numbers of what it seals, and what it has
 * heard of each sender. Without a seal messages go and come as they are.
 */
final class Post {

  private final Datagrams datagrams;
  private final InetSocketAddress own;
  private final Seal seal;
  private final long run;
  private final Map<InetSocketAddress, Seal.Heard> heard = new HashMap<>();
  private long number;

  Post(Datagrams datagrams, InetSocketAddress own, Seal seal, long run) {
    this.datagrams = datagrams;
    this.own = own;
    this.seal = seal;
    this.run = run;
  }

  boolean sealed() {
    return seal != null;
  }

  void send(InetSocketAddress to, byte[] message) {
    datagrams.send(own, to, seal == null ? message : seal.seal(message, run, number++));
  }

  /** The message of a sender that is known to be one: strangers must not fill the table. */
  byte[] open(byte[] bytes, InetSocketAddress from) throws MalformedException {
    if (seal == null) {
      return bytes;
    }
    Seal.Opened opened = seal.open(bytes, heard.getOrDefault(from, Seal.Heard.NOTHING));
    heard.put(from, opened.heard());
    return opened.message();
  }
}
