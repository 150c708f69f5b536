package tamarindroute.members;

import java.util.LinkedHashMap;
import java.util.Map;
import tamarindroute.members.wire.Envelopes;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.protocol.MalformedException;
import tamarindroute.protocol.Seal;

/**
 * Seals what a member sends and opens what comes: each letter is a member's, of the life that
 * sealed it, and new. The seal's run is the sender's birth, so that a new life starts its numbers
 * anew.
 */
final class Post {

  /** A letter that is proven; former where a later life of its sender was heard before. */
  record Opened(Letter letter, boolean former) {}

  private final Seal seal;
  private final Map<Address, Seal.Heard> heard;
  private long run;
  private long number;

  /** Remembers what was heard of so many senders, those heard latest. */
  Post(Seal seal, int most) {
    this.seal = seal;
    this.heard =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Address, Seal.Heard> eldest) {
            return size() > most;
          }
        };
  }

  byte[] seal(Letter letter) {
    if (letter.sender().birth() != run) {
      run = letter.sender().birth();
      number = 0;
    }
    return seal.seal(Envelopes.write(letter), run, number++);
  }

  /**
   * Opens a letter. One of a former life is handed on as such: whoever was born with a clock set
   * back is told so by an answer, and whoever plays old datagrams again gets no more than that.
   */
  Opened open(byte[] bytes, Member self) throws MalformedException {
    Seal.Opened opened = seal.open(bytes, Seal.Heard.NOTHING);
    Letter letter = Envelopes.read(opened.message());
    Member sender = letter.sender();
    if (opened.heard().run() != sender.birth()) {
      throw new MalformedException("sealed in another life than it tells");
    }
    if (sender.address().equals(self.address())) {
      throw new MalformedException("from one of our own name, " + sender);
    }
    Seal.Heard before = heard.getOrDefault(sender.address(), Seal.Heard.NOTHING);
    if (sender.birth() < before.run()) {
      return new Opened(letter, true);
    }
    heard.put(sender.address(), Seal.next(before, sender.birth(), opened.heard().latest()));
    return new Opened(letter, false);
  }
}
