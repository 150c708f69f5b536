package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import tamarindroute.members.wire.Envelopes;
import tamarindroute.members.wire.Letter;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.protocol.MalformedException;
import tamarindroute.protocol.Seal;

/** What is opened, and what is not. */
class PostTest {

  private static final Member SELF = new Member(new Address("127.0.0.1", 9001), 5);

  private final Seal seal = new Seal(Map.of(1, Town.KEY), 1);
  private final Post post = new Post(seal, 2);

  private static Letter from(int port, long birth) {
    return Letter.of(
        new Member(new Address("127.0.0.1", port), birth), 0, new Letter.Facts(new byte[] {1}));
  }

  @Test
  void eachLetterCountsOnceAndAFormerLifeIsTold() throws MalformedException {
    Post sender = new Post(seal, 2);
    byte[] first = sender.seal(from(9002, 7));
    byte[] second = sender.seal(from(9002, 7));
    byte[] reborn = sender.seal(from(9002, 8));
    assertThat(post.open(second, SELF).former()).isFalse();
    assertThat(post.open(first, SELF).letter()).isEqualTo(from(9002, 7));
    assertThatThrownBy(() -> post.open(first, SELF)).isInstanceOf(MalformedException.class);
    assertThat(post.open(reborn, SELF).former()).isFalse();
    assertThat(post.open(first, SELF).former()).isTrue();
  }

  @Test
  void noOtherLifeNorOneOfOurNameIsHeard() {
    byte[] twisted = seal.seal(Envelopes.write(from(9002, 7)), 9, 0);
    assertThatThrownBy(() -> post.open(twisted, SELF)).hasMessageContaining("another life");
    byte[] ours = new Post(seal, 2).seal(from(9001, 7));
    assertThatThrownBy(() -> post.open(ours, SELF)).hasMessageContaining("our own name");
    byte[] changed = new Post(seal, 2).seal(from(9002, 7));
    changed[20] ^= 1;
    assertThatThrownBy(() -> post.open(changed, SELF)).hasMessageContaining("seal");
  }

  @Test
  void thoseHeardLatestAreRememberedAndNoMore() throws MalformedException {
    byte[] first = new Post(seal, 2).seal(from(9002, 7));
    byte[] third = new Post(seal, 2).seal(from(9004, 7));
    post.open(first, SELF);
    post.open(new Post(seal, 2).seal(from(9003, 7)), SELF);
    post.open(third, SELF);
    // Forgotten, so that it would count again: the bound's price, told in docs/members.md.
    assertThat(post.open(first, SELF).former()).isFalse();
    assertThatThrownBy(() -> post.open(third, SELF)).isInstanceOf(MalformedException.class);
  }
}
